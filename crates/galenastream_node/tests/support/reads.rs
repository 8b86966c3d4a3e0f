//! Callers that read keys all the time.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use galenastream_standin::{Caller, CallerRequest};
use http::Method;
use tokio::task::JoinHandle;

use super::SERVICE;

/// Pause of one caller between two reads.
const PAUSE: Duration = Duration::from_millis(2);

/// One read that was not answered by a target.
#[derive(Debug, Clone)]
pub struct FailedRead {
    pub key: String,
    pub at: Instant,
    pub what: String,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct ReadReport {
    pub answered: u64,
    pub failed: Vec<FailedRead>,
    /// The longest time between two answers to one caller.
    pub longest_gap: Duration,
}

/// Callers that read keys all the time, one for each key.
pub struct ReadLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    report: Arc<Mutex<ReadReport>>,
}

impl ReadLoad {
    /// Starts a caller for each key, which uses the entries in turn.
    pub fn start(entries: &[SocketAddr], keys: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let report = Arc::new(Mutex::new(ReadReport::default()));
        let mut callers = Vec::new();
        for (index, key) in keys.iter().enumerate() {
            let reader = Reader {
                caller: Caller::new().unwrap(),
                entries: entries.to_vec(),
                key: key.clone(),
                stop: stop.clone(),
                report: report.clone(),
            };
            callers.push(tokio::spawn(reader.run(index)));
        }
        Self { stop, callers, report }
    }

    /// How many reads were answered so far.
    pub fn answered(&self) -> u64 {
        self.report.lock().unwrap().answered
    }

    /// Stops the callers and returns what they saw.
    pub async fn stop(self) -> ReadReport {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        std::mem::take(&mut self.report.lock().unwrap())
    }
}

struct Reader {
    caller: Caller,
    entries: Vec<SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
    report: Arc<Mutex<ReadReport>>,
}

impl Reader {
    async fn run(self, first_entry: usize) {
        let mut turn = first_entry;
        let mut answered_at = Instant::now();
        while !self.stop.load(Ordering::SeqCst) {
            let entry = self.entries[turn % self.entries.len()];
            turn += 1;
            let path = format!("/{SERVICE}/frames");
            let request = CallerRequest::new(Method::GET, path).with_key(&self.key);
            let at = Instant::now();
            let what = match self.caller.call(entry, &request).await {
                Ok(answer) if answer.outcome() == "ran" => None,
                Ok(answer) => Some(format!(
                    "{entry}: {} {}",
                    answer.outcome(),
                    answer.header("galenastream-reason")
                )),
                Err(error) => Some(format!("{entry}: {error:#}")),
            };
            if what.is_none() {
                let gap = answered_at.elapsed();
                answered_at = Instant::now();
                self.record_gap(gap);
            }
            self.record(at, what);
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn record_gap(&self, gap: Duration) {
        let mut report = self.report.lock().unwrap();
        report.longest_gap = report.longest_gap.max(gap);
    }

    fn record(&self, at: Instant, what: Option<String>) {
        let mut report = self.report.lock().unwrap();
        match what {
            None => report.answered += 1,
            Some(what) => report.failed.push(FailedRead { key: self.key.clone(), at, what }),
        }
    }
}
