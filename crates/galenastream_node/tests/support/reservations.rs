//! Callers that reserve with tickets all the time, and the check of what they were told.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use galenastream_standin::{Caller, CallerRequest, Judge, wait_until};
use http::Method;
use tokio::task::JoinHandle;

use super::{Cluster, SERVICE, WAIT_LIMIT};

/// How often a caller asks again with the same ticket.
const MAX_TRIES: u32 = 4;

/// Pause of one caller between two requests.
const PAUSE: Duration = Duration::from_millis(3);

/// The deadline of a reservation.
const DEADLINE_MS: u64 = 500;

/// Reservations that must run after a fault before the callers are stopped.
const RESERVATIONS_AFTER: usize = 100;

/// One answer, or its absence.
#[derive(Debug, Clone)]
pub struct ReservationAnswer {
    pub ticket: String,
    pub request_id: String,
    pub outcome: String,
}

/// What callers were told.
#[derive(Debug, Default)]
pub struct ReservationReport {
    pub answers: Vec<ReservationAnswer>,
}

impl ReservationReport {
    /// How many reservations were told to have run.
    pub fn ran(&self) -> usize {
        self.answers.iter().filter(|it| it.outcome == "ran").count()
    }

    /// What the targets' logs contradict.
    pub fn contradictions(&self, judge: &Judge) -> Vec<String> {
        let mut contradictions = Vec::new();
        for breach in judge.breaches() {
            contradictions.push(breach.to_string());
        }
        for answer in &self.answers {
            let runs = judge.runs_of_ticket(&answer.ticket);
            let contradicted = match answer.outcome.as_str() {
                "ran" => runs != 1,
                "not-run" => judge.has_run(&answer.request_id),
                _ => runs > 1,
            };
            if contradicted {
                contradictions.push(format!("{answer:?}, but it ran {runs} times"));
            }
        }
        contradictions
    }
}

/// Callers that reserve with tickets all the time.
pub struct ReservationLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    report: Arc<Mutex<ReservationReport>>,
}

impl ReservationLoad {
    /// Starts a caller for each key, which uses the entries in turn.
    pub fn start(entries: &[SocketAddr], keys: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let report = Arc::new(Mutex::new(ReservationReport::default()));
        let mut callers = Vec::new();
        for (index, key) in keys.iter().enumerate() {
            let reserver = Reserver {
                caller: Caller::new().unwrap(),
                name: format!("caller-{index}"),
                entries: entries.to_vec(),
                key: key.clone(),
                stop: stop.clone(),
                report: report.clone(),
            };
            callers.push(tokio::spawn(reserver.run(index)));
        }
        Self { stop, callers, report }
    }

    /// Starts callers that use all entries of a deployment, and waits until reservations run.
    pub async fn start_running(cluster: &Cluster, keys: &[String]) -> Self {
        let load = Self::start(&cluster.entries(), keys);
        wait_until("reservations to run", WAIT_LIMIT, async || load.ran() >= keys.len() * 2)
            .await
            .unwrap();
        load
    }

    /// Waits until many more reservations have run.
    pub async fn wait_for_more(&self) {
        let enough = self.ran() + RESERVATIONS_AFTER;
        wait_until("more reservations to run", WAIT_LIMIT, async || self.ran() >= enough)
            .await
            .unwrap();
    }

    /// How many reservations were told to have run so far.
    pub fn ran(&self) -> usize {
        self.report.lock().unwrap().ran()
    }

    /// Stops the callers and returns what they were told.
    pub async fn stop(self) -> ReservationReport {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        std::mem::take(&mut self.report.lock().unwrap())
    }
}

struct Reserver {
    caller: Caller,
    name: String,
    entries: Vec<SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
    report: Arc<Mutex<ReservationReport>>,
}

impl Reserver {
    async fn run(self, first_entry: usize) {
        let mut turn = first_entry;
        let mut number = 0;
        while !self.stop.load(Ordering::SeqCst) {
            turn += 1;
            tokio::time::sleep(PAUSE).await;
            let Some(ticket) = self.obtain_ticket(turn).await else {
                continue;
            };
            for _ in 0..MAX_TRIES {
                turn += 1;
                number += 1;
                let request_id = format!("{}-{number}", self.name);
                let outcome = self.reserve(turn, &ticket, &request_id).await;
                let is_final = outcome == "ran";
                let answer = ReservationAnswer { ticket: ticket.clone(), request_id, outcome };
                self.report.lock().unwrap().answers.push(answer);
                if is_final {
                    break;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    fn entry(&self, turn: usize) -> SocketAddr {
        self.entries[turn % self.entries.len()]
    }

    async fn obtain_ticket(&self, turn: usize) -> Option<String> {
        let path = format!("/{SERVICE}/galenastream/ticket");
        let request = CallerRequest::new(Method::POST, path).with_key(&self.key);
        let answer = self.caller.call(self.entry(turn), &request).await.ok()?;
        let ticket = answer.header("galenastream-ticket");
        (!ticket.is_empty()).then(|| ticket.to_owned())
    }

    async fn reserve(&self, turn: usize, ticket: &str, request_id: &str) -> String {
        let path = format!("/{SERVICE}/reservations");
        let request = CallerRequest::new(Method::POST, path)
            .with_key(&self.key)
            .with_ticket(ticket)
            .with_header("galenastream-request-id", request_id)
            .with_deadline_ms(DEADLINE_MS);
        match self.caller.call(self.entry(turn), &request).await {
            Ok(answer) if !answer.outcome().is_empty() => answer.outcome().to_owned(),
            _ => "no answer".to_owned(),
        }
    }
}
