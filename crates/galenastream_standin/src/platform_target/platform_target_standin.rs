//! The target with its HTTP server.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::{
    sync::{Notify, Semaphore},
    task::{AbortHandle, JoinHandle},
};
use volo::service::Service;
use volo_http::{
    body::Body, client::Client, context::ServerContext, request::Request, response::Response,
};

use super::{
    CRASHING_BODY, CrashPlan, LimitSpan, TargetAnnouncement, TargetAnswerFault, TargetArrival,
    TargetCapacity, TargetEnd, TargetHistory, TargetPlan, TargetRun, crashes_targets,
    heartbeat_sender::send_heartbeats,
    target_leases::{GrantCall, HeartbeatReply, ReleaseCall, TargetLeases},
};
use crate::{HttpServer, partial_reply, read_body, text_reply};

/// How long a target that has stopped listening goes on sending heartbeats.
const LAST_HEARTBEATS_TIME: Duration = Duration::from_millis(500);

/// The path of the health check, whose answer carries the id of the target.
const HEALTH_PATH: &str = "/health";

const GRANT_PATH: &str = "/galenastream/grant";
const RELEASE_PATH: &str = "/galenastream/release";

/// How often a release checks whether the requests in progress have ended.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How late a call that gets no answer is carried out at most.
const MAX_CALL_LATENESS_MS: u64 = 8_000;

/// A target that serves requests over HTTP and sends heartbeats to the node beside it.
#[derive(Debug)]
pub struct PlatformTargetStandin {
    server: Arc<HttpServer>,
    state: Arc<TargetState>,
    heartbeats: JoinHandle<()>,
    control: SocketAddr,
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) capacity: TargetCapacity,
    pub(super) started_unix_ms: Option<u64>,
    crash: CrashPlan,
    /// How many of 100 calls that change leases are late.
    late_call_percent: AtomicU32,
    /// Counts the calls that change leases.
    lease_calls: AtomicU64,
    slots: Semaphore,
    leases: Mutex<TargetLeases>,
    fault: Mutex<TargetAnswerFault>,
    max_heartbeat_delay: Mutex<Duration>,
    announcement: Mutex<TargetAnnouncement>,
    is_leaving: AtomicBool,
    arrivals: Mutex<Vec<TargetArrival>>,
    /// The limits announced so far; the last one may still be announced.
    limits: Mutex<Vec<LimitSpan>>,
    runs: Mutex<Vec<TargetRun>>,
    end: Mutex<Option<TargetEnd>>,
    /// Notified when a request crashes the target.
    crashes: Notify,
}

#[derive(Debug, Clone)]
struct TargetService {
    state: Arc<TargetState>,
}

impl PlatformTargetStandin {
    /// Starts a target and its heartbeats.
    pub async fn start(plan: &TargetPlan) -> anyhow::Result<Self> {
        let state = Arc::new(TargetState::new(plan));
        let service = TargetService { state: state.clone() };
        let server = Arc::new(HttpServer::start(plan.address, service)?);
        let sender = send_heartbeats(
            state.clone(),
            plan.advertised_address,
            plan.control,
            plan.heartbeat_interval,
        );
        let heartbeats = tokio::spawn(sender);
        // A target that is dropped ends at once, so the task must not keep its server.
        let server_to_stop = Arc::downgrade(&server);
        tokio::spawn(stop_on_crash(state.clone(), server_to_stop, heartbeats.abort_handle()));
        Ok(Self { server, state, heartbeats, control: plan.control })
    }

    /// Deregisters the target at the node beside it. Its heartbeats go on and say that it is ready; its
    /// health checks do not.
    pub async fn deregister(&self) -> anyhow::Result<()> {
        let uri =
            format!("http://{}/galenastream/instances/{}/deregister", self.control, self.state.id);
        let response = Client::default().post(uri).body(Body::from("{}")).send().await?;
        anyhow::ensure!(response.status().is_success(), "the deregistration was refused");
        self.state.is_leaving.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Stops sending heartbeats. The target serves on.
    pub fn stop_heartbeats(&self) {
        self.heartbeats.abort();
    }

    /// Sets the fault of answers from now on.
    pub fn set_fault(&self, fault: TargetAnswerFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Sets how long some heartbeats are under way at most, also past the end of the target.
    pub fn set_max_heartbeat_delay(&self, delay: Duration) {
        *lock(&self.state.max_heartbeat_delay) = delay;
    }

    /// Sets how many of 100 calls that change leases get no answer and are carried out late.
    pub fn set_late_calls(&self, percent: u32) {
        self.state.late_call_percent.store(percent, Ordering::Relaxed);
    }

    /// Sets what the responses announce from now on.
    pub fn announce(&self, announcement: TargetAnnouncement) {
        let now = Instant::now();
        let mut limits = self.state.limits_until(now);
        if let Some(per_s) = announcement.limit_per_s() {
            limits.push(LimitSpan { per_s, from: now, until: now });
        }
        *lock(&self.state.limits) = limits;
        *lock(&self.state.announcement) = announcement;
    }

    /// Returns the requests that arrived, in the order of their arrival. Health checks are left out.
    pub fn arrivals(&self) -> Vec<TargetArrival> {
        lock(&self.state.arrivals).clone()
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<TargetRun> {
        lock(&self.state.runs).clone()
    }

    /// Returns how many keys the node beside the target granted last.
    pub fn key_count(&self) -> usize {
        self.state.leases().key_count()
    }

    /// Returns the requests that ran and the keys that were held.
    pub fn history(&self) -> TargetHistory {
        TargetHistory {
            id: self.state.id.clone(),
            service: self.state.service.clone(),
            runs: self.runs(),
            held: self.state.leases().spans(),
            arrivals: self.arrivals(),
            limits: self.state.limits_until(Instant::now()),
            end: self.end(),
        }
    }

    /// Returns the end of the target, or `None` while it runs.
    pub fn end(&self) -> Option<TargetEnd> {
        lock(&self.state.end).clone()
    }

    /// Stops listening. Heartbeats go on for a moment, and open connections are served until
    /// [`crash`](Self::crash).
    pub fn stop_listening(&self) {
        self.server.stop_listening();
        let heartbeats = self.heartbeats.abort_handle();
        tokio::spawn(async move {
            tokio::time::sleep(LAST_HEARTBEATS_TIME).await;
            heartbeats.abort();
        });
    }

    /// Stops listening and sending heartbeats abruptly, as a crash does. The history stays
    /// available.
    pub fn crash(&self) {
        self.state.set_end(None);
        self.heartbeats.abort();
        self.server.stop();
        self.state.leases().end();
    }

    /// Stops the target abruptly, as a crash does.
    pub fn close(self) {
        self.crash();
    }
}

impl TargetState {
    pub(super) fn new(plan: &TargetPlan) -> Self {
        Self {
            id: plan.id.clone(),
            service: plan.service.clone(),
            slots: Semaphore::new(plan.capacity.slots as usize),
            capacity: plan.capacity,
            crash: plan.crash,
            late_call_percent: AtomicU32::new(plan.conduct.late_call_percent),
            lease_calls: AtomicU64::new(0),
            started_unix_ms: plan.started_unix_ms,
            leases: Mutex::new(TargetLeases::new(plan.conduct)),
            fault: Mutex::default(),
            max_heartbeat_delay: Mutex::default(),
            announcement: Mutex::default(),
            is_leaving: AtomicBool::default(),
            arrivals: Mutex::default(),
            limits: Mutex::default(),
            runs: Mutex::default(),
            end: Mutex::default(),
            crashes: Notify::new(),
        }
    }

    /// Records the end of the target. Of several causes, the first one counts.
    fn set_end(&self, crashed_by: Option<String>) {
        let end = TargetEnd { at: Instant::now(), crashed_by };
        lock(&self.end).get_or_insert(end);
    }

    pub(super) fn leases(&self) -> MutexGuard<'_, TargetLeases> {
        lock(&self.leases)
    }

    pub(super) fn max_heartbeat_delay(&self) -> Duration {
        *lock(&self.max_heartbeat_delay)
    }

    /// Returns the limits announced so far, with the current one until `now`.
    fn limits_until(&self, now: Instant) -> Vec<LimitSpan> {
        let is_announced = lock(&self.announcement).limit_per_s().is_some();
        let mut limits = lock(&self.limits).clone();
        if let Some(last) = limits.last_mut().filter(|_| is_announced) {
            last.until = now;
        }
        limits
    }

    /// Returns how late the next call that changes leases is carried out; `None` if at once.
    fn draw_lateness(&self) -> Option<Duration> {
        let count = self.lease_calls.fetch_add(1, Ordering::Relaxed);
        // Scatters consecutive numbers over the percentages and the delays.
        let scattered = count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let is_late = scattered % 100 < u64::from(self.late_call_percent.load(Ordering::Relaxed));
        is_late.then(|| Duration::from_millis(scattered / 100 % MAX_CALL_LATENESS_MS))
    }

    pub(super) fn apply_reply(&self, reply: HeartbeatReply, sent_at: Instant) {
        self.leases().apply(reply, sent_at);
    }
}

impl TargetState {
    /// Waits for the time that a request takes. Returns false as soon as its lease has ended.
    async fn run(&self, key: Option<u16>, time: Duration) -> bool {
        let done_at = Instant::now() + time;
        loop {
            let lease_end = key.and_then(|it| self.leases().request_end(it));
            let until = lease_end.map_or(done_at, |it| it.min(done_at));
            tokio::time::sleep_until(until.into()).await;
            if until == done_at {
                return true;
            }
            let is_renewed = key
                .and_then(|it| self.leases().request_end(it))
                .is_some_and(|it| Instant::now() < it);
            if !is_renewed {
                return false;
            }
        }
    }

    fn set_run_status(&self, request_id: &str, status: StatusCode) {
        let mut runs = lock(&self.runs);
        if let Some(run) = runs.iter_mut().rev().find(|it| it.request_id == request_id) {
            run.status = status.as_u16();
        }
    }
}

/// A request in progress on a key, also if its connection closes.
struct KeyUse {
    state: Arc<TargetState>,
    key: Option<u16>,
}

impl KeyUse {
    /// Starts a request. Returns `None` if its key is not held.
    fn begin(state: &Arc<TargetState>, key: Option<u16>) -> Option<Self> {
        let is_held = key.is_none_or(|it| state.leases().begin_request(it));
        is_held.then(|| Self { state: state.clone(), key })
    }
}

impl Drop for KeyUse {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.state.leases().end_request(key);
        }
    }
}

impl Service<ServerContext, Request> for TargetService {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let mut response = self.answer(request).await;
        lock(&self.state.announcement).append_to(response.headers_mut());
        Ok(response)
    }
}

impl TargetService {
    async fn answer(&self, request: Request) -> Response {
        if request.uri().path() == HEALTH_PATH {
            let mut response = match self.state.is_leaving.load(Ordering::Relaxed) {
                true => text_reply(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
                false => text_reply(StatusCode::OK, "healthy"),
            };
            if let Ok(id) = HeaderValue::from_str(&self.state.id) {
                response.headers_mut().insert("x-instance-id", id);
            }
            return response;
        }
        if let Some(path @ (GRANT_PATH | RELEASE_PATH)) = Some(request.uri().path()) {
            let is_grant = path == GRANT_PATH;
            return self.answer_lease_call(is_grant, request).await;
        }
        let headers = request.headers().clone();
        let request_id = header_text(&headers, "x-request-id").to_owned();
        let path = request.uri().path_and_query().map_or("", |it| it.as_str()).to_owned();
        let caller_service = header_text(&headers, "x-caller-service").to_owned();
        let has_crashing_path = crashes_targets(&path);
        lock(&self.state.arrivals).push(TargetArrival {
            request_id: request_id.clone(),
            path,
            caller_service: caller_service.clone(),
            arrived_at: Instant::now(),
        });
        let expected = header_text(&headers, "x-expected-instance");
        if !expected.is_empty() && expected != self.state.id {
            return not_executed_reply(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let key = header_text(&headers, "x-shard-key").parse().ok();
        if key.is_some_and(|it| !self.state.leases().covers(it)) {
            return not_executed_reply(StatusCode::MISDIRECTED_REQUEST, &request_id);
        }
        let fault = *lock(&self.state.fault);
        if fault == TargetAnswerFault::Shed {
            return not_executed_reply(StatusCode::SERVICE_UNAVAILABLE, &request_id);
        }
        let Ok(_slot) = self.state.slots.try_acquire() else {
            // A target without a free slot never answers.
            return std::future::pending().await;
        };
        let changes_state = request.method() != Method::GET;
        let status = match fault {
            TargetAnswerFault::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            TargetAnswerFault::Unsigned(status) => {
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST)
            }
            _ => StatusCode::OK,
        };
        let body = read_body(request).await.unwrap_or_default();
        let crashes_target = has_crashing_path || body.starts_with(CRASHING_BODY);
        let Some(_key_use) = KeyUse::begin(&self.state, key) else {
            return not_executed_reply(StatusCode::MISDIRECTED_REQUEST, &request_id);
        };
        lock(&self.state.runs).push(TargetRun {
            request_id: request_id.clone(),
            caller_service,
            deadline_ms: header_text(&headers, "x-deadline-ms").parse().unwrap_or(0),
            key,
            changes_state,
            status: status.as_u16(),
            began_at: Instant::now(),
        });
        let extra_time = match fault {
            TargetAnswerFault::Slow(time) => time,
            _ => Duration::ZERO,
        };
        let run_time = match crashes_target {
            true => self.state.crash.run_time,
            false => self.state.capacity.service_time + extra_time,
        };
        if !self.state.run(key, run_time).await {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            self.state.set_run_status(&request_id, status);
            let text = format!("{} ended {request_id} with its lease", self.state.id);
            return self.signed(named(status, text, &request_id), &request_id);
        }
        if crashes_target {
            self.state.set_end(Some(request_id));
            self.state.crashes.notify_one();
            return std::future::pending().await;
        }
        let text = format!("{} ran {request_id} with {} bytes", self.state.id, body.len());
        let signed = |id: &str| self.signed(named(status, text.clone(), id), id);
        match fault {
            TargetAnswerFault::Truncate => partial_reply(signed(&request_id)),
            TargetAnswerFault::Stray => signed("another-request"),
            TargetAnswerFault::Unsigned(_) => named(status, text, &request_id),
            TargetAnswerFault::None
            | TargetAnswerFault::Fail
            | TargetAnswerFault::Shed
            | TargetAnswerFault::Slow(_) => signed(&request_id),
        }
    }

    /// Answers a call that grants keys or takes them back.
    async fn answer_lease_call(&self, is_grant: bool, request: Request) -> Response {
        let arrived_at = Instant::now();
        let expected = header_text(request.headers(), "x-expected-instance").to_owned();
        if !expected.is_empty() && expected != self.state.id {
            return text_reply(StatusCode::MISDIRECTED_REQUEST, "");
        }
        let body = read_body(request).await.unwrap_or_default();
        let Some(lateness) = self.state.draw_lateness() else {
            return carry_out(&self.state, is_grant, &body, arrived_at).await;
        };
        let state = self.state.clone();
        // The call is carried out even if its connection is closed.
        tokio::spawn(async move {
            tokio::time::sleep(lateness).await;
            carry_out(&state, is_grant, &body, arrived_at).await;
        });
        std::future::pending().await
    }

    /// Adds the signature of the target to the answer to a request that it ran.
    fn signed(&self, mut response: Response, request_id: &str) -> Response {
        let signature = format!("{}.{request_id}", self.state.id);
        if let Ok(signature) = HeaderValue::from_str(&signature) {
            response.headers_mut().insert("x-server-signature", signature);
        }
        response
    }
}

/// Carries out a call that changes leases, if the target has not ended.
async fn carry_out(
    state: &TargetState,
    is_grant: bool,
    body: &[u8],
    arrived_at: Instant,
) -> Response {
    if lock(&state.end).is_some() {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    if is_grant {
        let Ok(call) = serde_json::from_slice::<GrantCall>(body) else {
            return text_reply(StatusCode::BAD_REQUEST, "");
        };
        let is_accepted = state.leases().grant(&call, arrived_at);
        return text_reply(if is_accepted { StatusCode::OK } else { StatusCode::CONFLICT }, "");
    }
    let Ok(ReleaseCall { first, last }) = serde_json::from_slice::<ReleaseCall>(body) else {
        return text_reply(StatusCode::BAD_REQUEST, "");
    };
    state.leases().begin_release(first, last);
    while !state.leases().is_released(first, last) {
        tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
    }
    let mut response = text_reply(StatusCode::OK, "");
    if let Ok(token) = HeaderValue::from_str(&format!("handover-{first}-{last}")) {
        response.headers_mut().insert("x-handover", token);
    }
    response
}

/// Ends a target when a request crashes it: its listener, its connections and its heartbeats.
async fn stop_on_crash(state: Arc<TargetState>, server: Weak<HttpServer>, heartbeats: AbortHandle) {
    state.crashes.notified().await;
    heartbeats.abort();
    if let Some(server) = server.upgrade() {
        server.stop();
    }
    state.leases().end();
}

/// Returns a text reply that names its request by id.
fn named(status: StatusCode, text: String, request_id: &str) -> Response {
    let mut response = text_reply(status, text);
    if let Ok(id) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// Returns a reply that marks its request as not executed.
fn not_executed_reply(status: StatusCode, request_id: &str) -> Response {
    let mut response = named(status, "not run".to_owned(), request_id);
    response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
