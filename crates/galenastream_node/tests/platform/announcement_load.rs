//! Callers that load a service while its targets announce limits or leaves.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use galenastream_standin::{CallerAnswer, CallerConnection, LocalDeployment};

/// Callers on each VM.
const CALLERS_PER_VM: usize = 2;

/// Time between the answer to a request and the next request of a caller.
const PAUSE: Duration = Duration::from_millis(20);

/// A request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub id: String,
    /// The index of the VM of the caller.
    pub vm: usize,
    pub sent_at: Instant,
    pub answered_at: Instant,
    /// `None` if the connection ended without an answer.
    pub answer: Option<CallerAnswer>,
}

impl SentRequest {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |it| it.status)
    }
}

/// Loads a path from all VMs for a period. With `is_keyed`, the requests go to different keys.
pub async fn load_path(
    deployment: &LocalDeployment,
    path: &'static str,
    is_keyed: bool,
    period: Duration,
) -> Vec<SentRequest> {
    load_from(entries(deployment, 0), path, is_keyed, period).await
}

/// Returns the indexes of the VMs from `first` on and the addresses where their nodes accept
/// callers.
pub fn entries(deployment: &LocalDeployment, first: usize) -> Vec<(usize, SocketAddr)> {
    let vms = deployment.vms.iter().enumerate().skip(first);
    vms.map(|(index, vm)| (index, vm.callers_address())).collect()
}

/// Loads a path from some VMs for a period.
pub async fn load_from(
    entries: Vec<(usize, SocketAddr)>,
    path: &'static str,
    is_keyed: bool,
    period: Duration,
) -> Vec<SentRequest> {
    let until = Instant::now() + period;
    let mut callers = Vec::new();
    for (vm, address) in entries {
        for caller in 0..CALLERS_PER_VM {
            callers.push(tokio::spawn(async move {
                let mut sent = Vec::new();
                let mut connection = None;
                while Instant::now() < until {
                    let id = format!("{vm}-{caller}-{}", sent.len());
                    let key = is_keyed.then(|| spread_key(sent.len()));
                    if connection.is_none() {
                        connection = CallerConnection::connect(address).await;
                    }
                    let sent_at = Instant::now();
                    let answer = match &mut connection {
                        Some(connection) => connection.get(path, &id, key).await,
                        None => None,
                    };
                    let answered_at = Instant::now();
                    let closes =
                        |it: &CallerAnswer| it.header("connection").is_some_and(|it| it == "close");
                    if answer.as_ref().is_none_or(closes) {
                        connection = None;
                    }
                    sent.push(SentRequest { id, vm, sent_at, answered_at, answer });
                    tokio::time::sleep(PAUSE).await;
                }
                sent
            }));
        }
    }
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("the caller does not panic"));
    }
    all
}

/// Returns keys that are spread over all ranges.
fn spread_key(number: usize) -> u16 {
    u16::try_from(number * 7_919 % 65_536).unwrap_or(0)
}
