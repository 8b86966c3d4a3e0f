//! Callers that send requests one after another.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time::sleep};

use super::caller_connection::request_with_body;
use crate::{CallerAnswer, CallerConnection, SentRequest};

/// Callers at some nodes. Each of them sends a request when the one before it is answered.
#[derive(Debug, Clone)]
pub struct CallerLoad {
    /// The first part of the ids of the requests.
    pub name: String,
    /// The indexes of VMs and the addresses where their nodes accept callers.
    pub entries: Vec<(usize, SocketAddr)>,
    /// How many callers there are on each of these VMs.
    pub callers_per_vm: usize,
    /// The time between an answer and the next request of the caller.
    pub pause: Duration,
    /// The method of the requests.
    pub method: &'static str,
    /// The path of the requests.
    pub path: String,
    /// Whether the path of each request ends in its id, so that no two requests are alike.
    pub has_distinct_paths: bool,
    /// The body of the requests.
    pub body: String,
    /// Whether the requests carry keys, which are spread over all ranges.
    pub has_keys: bool,
}

impl CallerLoad {
    /// Creates two callers on each VM that send GET requests without a body and without a key.
    pub fn new(name: &str, entries: Vec<(usize, SocketAddr)>, path: &str) -> Self {
        Self {
            name: name.to_owned(),
            entries,
            callers_per_vm: 2,
            pause: Duration::from_millis(20),
            method: "GET",
            path: path.to_owned(),
            has_distinct_paths: false,
            body: String::new(),
            has_keys: false,
        }
    }

    /// Sets how many callers there are on each VM, and their pause after each answer.
    pub fn with_callers(self, callers_per_vm: usize, pause: Duration) -> Self {
        Self { callers_per_vm, pause, ..self }
    }

    /// Makes the requests POST requests with a body.
    pub fn with_body(self, body: &str) -> Self {
        Self { method: "POST", body: body.to_owned(), ..self }
    }

    /// Makes the path of each request end in its id.
    pub fn with_distinct_paths(self) -> Self {
        Self { has_distinct_paths: true, ..self }
    }

    /// Makes the requests carry keys.
    pub fn with_keys(self) -> Self {
        Self { has_keys: true, ..self }
    }

    /// Sends requests for a period. The callers leave if the returned future is dropped.
    pub async fn run_for(self, period: Duration) -> Vec<SentRequest> {
        let until = Instant::now() + period;
        let load = Arc::new(self);
        let mut callers = JoinSet::new();
        for (vm, address) in load.entries.iter().copied() {
            for caller in 0..load.callers_per_vm {
                callers.spawn(load.clone().run_caller(vm, address, caller, until));
            }
        }
        callers.join_all().await.into_iter().flatten().collect()
    }

    async fn run_caller(
        self: Arc<Self>,
        vm: usize,
        address: SocketAddr,
        caller: usize,
        until: Instant,
    ) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        let mut connection = None;
        while Instant::now() < until {
            let id = format!("{}-{vm}-{caller}-{}", self.name, sent.len());
            if connection.is_none() {
                connection = CallerConnection::connect(address).await;
            }
            let sent_at = Instant::now();
            let answer = match &mut connection {
                Some(connection) => connection.exchange(&self.request(&id, sent.len())).await,
                None => None,
            };
            let answered_at = Instant::now();
            let closes =
                |it: &CallerAnswer| it.header("connection").is_some_and(|it| it == "close");
            if answer.as_ref().is_none_or(closes) {
                connection = None;
            }
            sent.push(SentRequest { id, vm, sent_at, answered_at, answer });
            sleep(self.pause).await;
        }
        sent
    }

    fn request(&self, id: &str, number: usize) -> String {
        let key = self.has_keys.then(|| spread_key(number));
        match self.has_distinct_paths {
            true => {
                request_with_body(self.method, &format!("{}{id}", self.path), id, key, &self.body)
            }
            false => request_with_body(self.method, &self.path, id, key, &self.body),
        }
    }
}

/// Returns keys that are spread over all ranges.
fn spread_key(number: usize) -> u16 {
    u16::try_from(number * 7_919 % 65_536).unwrap_or(0)
}
