//! The HTTP server of a target.

use std::{
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::{sync::Semaphore, task::JoinHandle};
use volo::service::Service;
use volo_http::{context::ServerContext, request::Request, response::Response};

use super::{
    TargetAnswerFault, TargetCapacity, TargetHistory, TargetPlan, TargetRun,
    heartbeat_sender::send_heartbeats,
    target_leases::{HeartbeatAnswer, TargetLeases},
};
use crate::{HttpServer, half_reply, read_body, text_reply};

/// The path that a target answers with its id.
const HEALTH_PATH: &str = "/health";

/// A target that listens on loopback and sends heartbeats to the node beside it.
#[derive(Debug)]
pub struct PlatformTargetStandin {
    server: HttpServer,
    state: Arc<TargetState>,
    heartbeats: JoinHandle<()>,
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) capacity: TargetCapacity,
    slots: Semaphore,
    leases: Mutex<TargetLeases>,
    fault: Mutex<TargetAnswerFault>,
    runs: Mutex<Vec<TargetRun>>,
}

#[derive(Debug, Clone)]
struct TargetService {
    state: Arc<TargetState>,
}

impl PlatformTargetStandin {
    /// Starts a target.
    pub async fn start(plan: &TargetPlan) -> anyhow::Result<Self> {
        let state = Arc::new(TargetState {
            id: plan.id.clone(),
            service: plan.service.clone(),
            slots: Semaphore::new(plan.capacity.slots as usize),
            capacity: plan.capacity,
            leases: Mutex::default(),
            fault: Mutex::default(),
            runs: Mutex::default(),
        });
        let server = HttpServer::start(plan.address, TargetService { state: state.clone() })?;
        let sender =
            send_heartbeats(state.clone(), server.address(), plan.control, plan.heartbeat_interval);
        Ok(Self { server, state, heartbeats: tokio::spawn(sender) })
    }

    /// Answers wrongly from now on.
    pub fn set_fault(&self, fault: TargetAnswerFault) {
        *lock(&self.state.fault) = fault;
    }

    /// The requests that ran.
    pub fn runs(&self) -> Vec<TargetRun> {
        lock(&self.state.runs).clone()
    }

    /// How many keys it holds.
    pub fn key_count(&self) -> usize {
        self.state.leases().key_count()
    }

    /// What it did.
    pub fn history(&self) -> TargetHistory {
        TargetHistory {
            id: self.state.id.clone(),
            service: self.state.service.clone(),
            runs: self.runs(),
            held: self.state.leases().spans().to_vec(),
        }
    }

    /// Stops listening and sending heartbeats, as a crash does. What it did can still be asked.
    pub fn end(&self) {
        self.heartbeats.abort();
        self.server.stop();
        self.state.leases().end();
    }

    /// Ends it as a crash does.
    pub fn close(self) {
        self.end();
    }
}

impl TargetState {
    pub(super) fn leases(&self) -> MutexGuard<'_, TargetLeases> {
        lock(&self.leases)
    }

    pub(super) fn take_answer(&self, answer: HeartbeatAnswer, sent_at: Instant) {
        self.leases().take(answer, sent_at);
    }
}

impl Service<ServerContext, Request> for TargetService {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.answer(request).await)
    }
}

impl TargetService {
    async fn answer(&self, request: Request) -> Response {
        if request.uri().path() == HEALTH_PATH {
            let mut response = text_reply(StatusCode::OK, "healthy");
            if let Ok(id) = HeaderValue::from_str(&self.state.id) {
                response.headers_mut().insert("x-instance-id", id);
            }
            return response;
        }
        let headers = request.headers().clone();
        let request_id = text(&headers, "x-request-id").to_owned();
        let expected = text(&headers, "x-expected-instance");
        if !expected.is_empty() && expected != self.state.id {
            return refuse(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let key = text(&headers, "x-shard-key").parse().ok();
        if key.is_some_and(|it| !self.state.leases().covers(it)) {
            return refuse(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let fault = *lock(&self.state.fault);
        if fault == TargetAnswerFault::Shed {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, &request_id);
        }
        let Ok(_slot) = self.state.slots.try_acquire() else {
            // A full target does not answer at all.
            return std::future::pending().await;
        };
        let changes_state = request.method() != Method::GET;
        let body = read_body(request).await.unwrap_or_default();
        lock(&self.state.runs).push(TargetRun {
            request_id: request_id.clone(),
            caller_service: text(&headers, "x-caller-service").to_owned(),
            deadline_ms: text(&headers, "x-deadline-ms").parse().unwrap_or(0),
            key,
            changes_state,
            began_at: Instant::now(),
        });
        let extra = match fault {
            TargetAnswerFault::Slow(time) => time,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(self.state.capacity.service_time + extra).await;
        let text = format!("{} ran {request_id} with {} bytes", self.state.id, body.len());
        match fault {
            TargetAnswerFault::Fail => named(StatusCode::INTERNAL_SERVER_ERROR, text, &request_id),
            TargetAnswerFault::Truncate => half_reply(named(StatusCode::OK, text, &request_id)),
            TargetAnswerFault::Stray => named(StatusCode::OK, text, "another-request"),
            TargetAnswerFault::None | TargetAnswerFault::Shed | TargetAnswerFault::Slow(_) => {
                named(StatusCode::OK, text, &request_id)
            }
        }
    }
}

fn named(status: StatusCode, text: String, request_id: &str) -> Response {
    let mut response = text_reply(status, text);
    if let Ok(id) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

fn refuse(status: StatusCode, request_id: &str) -> Response {
    let mut response = named(status, "not run".to_owned(), request_id);
    response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
