//! The event loop of the control thread.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use galenastream_adapter::{decode_cold_remaining, header_names};
use galenastream_ranges::{PlannedCall, TargetIncarnation};
use galenastream_routing::NodeKey;
use galenastream_runtime::{BodyBuffer, ExchangeError, HttpConnection, boot_now, connect_tcp};
use galenastream_utils::BootInstant;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use super::ownership_log::millis;
use super::{
    CallBasis, ControlEvent, ControlState, Effect, NodeContext, ProbeAnswer, TargetHealth,
    TargetProbe,
    commit::{AssignmentWrite, StoreWrite},
    lease_call_client::LeaseCallClient,
};
use crate::version::PublishedDoubt;

/// Interval at which the control state is advanced without events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the load of the local target is passed to the control state.
/// `KeyMeter::decay` assumes two calls per second.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for opening a connection to the local target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a health check that identifies the local target. Shorter than the time to the second
/// heartbeat, which confirms the target as well.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest accepted answer to a health check.
const MAX_IDENTITY_BYTES: usize = 64 * 1024;

/// Delay between the two refused connections that prove that the target has ended.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// The rate of one request per microsecond in thousandths of a request per second. Divided by a
/// service time in microseconds, it gives the rate of one slot.
const MILLI_PER_S_PER_US: u64 = 1_000_000_000;

/// The event loop of the control thread.
pub(super) struct ControlLoop {
    pub(super) context: Arc<NodeContext>,
    pub(super) state: ControlState,
    pub(super) events: mpsc::Receiver<ControlEvent>,
    pub(super) commits: mpsc::Sender<StoreWrite>,
    pub(super) peer_queries: mpsc::Sender<NodeKey>,
    pub(super) lease_calls: Arc<LeaseCallClient>,
}

impl ControlLoop {
    /// Handles events until the process ends.
    pub(super) async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut measured_at = Instant::now();
        loop {
            let effects = tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.state.handle(event, boot_now()),
                    None => return,
                },
                _ = ticks.tick() => {
                    if measured_at.elapsed() >= MEASURE_INTERVAL {
                        measured_at = Instant::now();
                        self.update_local_load();
                    }
                    self.state.tick(boot_now())
                }
            };
            self.publish();
            for effect in effects {
                self.execute(effect);
            }
        }
    }

    fn update_local_load(&mut self) {
        let key_loads = {
            let mut meter = self.context.key_meter.lock().unwrap_or_else(|it| it.into_inner());
            meter.decay();
            meter.load_ranges()
        };
        let service_time_us = self.context.service_time_us.load(Ordering::Relaxed);
        let slots = self.context.directory.load().local.as_ref().map_or(0, |it| it.slots);
        let capacity_milli_per_s = match service_time_us {
            0 => 0,
            service_time_us => u64::from(slots) * MILLI_PER_S_PER_US / service_time_us,
        };
        self.state.set_local_load(capacity_milli_per_s, key_loads);
        let limit =
            self.context.target_limit.lock().unwrap_or_else(PoisonError::into_inner).clone();
        self.state.set_local_limit(limit, boot_now());
    }

    /// Publishes changed snapshots to the traffic thread.
    fn publish(&mut self) {
        if !self.state.take_needs_publishing() {
            return;
        }
        let now = boot_now();
        let context = &self.context;
        if let Some(routing) = self.state.routing() {
            let is_new = context.routing.load().as_ref().is_none_or(|it| !Arc::ptr_eq(it, routing));
            if is_new {
                context.routing.store(Some(routing.clone()));
            }
        }
        if !Arc::ptr_eq(&context.settings_tree.load(), self.state.settings_tree()) {
            context.settings_tree.store(self.state.settings_tree().clone());
        }
        self.publish_config_doubt(now);
        let directory = self.state.directory(now);
        if **context.directory.load() != directory {
            context.directory.store(Arc::new(directory));
            context.directory_changes.send_modify(|it| *it += 1);
        }
        context.sync_snapshot.store(Arc::new(self.state.sync_snapshot()));
        let mut page = self.state.status_page(now);
        if let Some(target) = &mut page.target {
            target.pending_requests = context.pending.load(Ordering::Relaxed);
        }
        context.status_page.store(Some(Arc::new(page)));
        let reads_rows = self.state.reads_rows(now);
        context
            .reads_rows
            .send_if_modified(|current| std::mem::replace(current, reads_rows) != reads_rows);
        context.rows_watch_ms.store(millis(self.state.rows_watch()), Ordering::Relaxed);
        let has_keys_left = self.state.has_keys_to_hand_over();
        context.has_keys_to_hand_over.store(has_keys_left, Ordering::Relaxed);
        context.has_leaves_to_write.store(self.state.has_leaves_to_write(), Ordering::Relaxed);
        let status = self.state.status(now);
        context.status.send_if_modified(|current| {
            let is_new = *current != status;
            *current = status;
            is_new
        });
    }

    fn publish_config_doubt(&self, now: BootInstant) {
        let doubt = self.state.config_doubt(now);
        let mut published =
            self.context.config_doubt.lock().unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut *published, PublishedDoubt { doubt, judged_at: now });
        if before.doubt == doubt {
            return;
        }
        match doubt {
            Some(doubt) => log::info!(event = "config_doubted", reason = doubt.as_str(); ""),
            None => self.state.log_confirmation(now),
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Commit { service, expected_version, assignment, expected_era_version } => {
                let dropped = service.clone();
                let write =
                    AssignmentWrite { service, expected_version, assignment, expected_era_version };
                if self.commits.try_send(StoreWrite::Assignment(write)).is_err() {
                    log::warn!(event = "commit_dropped", service = dropped.as_str(); "");
                    self.state.handle_dropped_commit(&dropped);
                }
            }
            Effect::Settle { expected, writes } => {
                if self.commits.try_send(StoreWrite::Settlement { expected, writes }).is_err() {
                    log::warn!(event = "settlement_dropped"; "");
                    self.state.handle_dropped_settlement();
                }
            }
            Effect::WriteQuarantine { expected_version, value } => {
                let write = StoreWrite::Quarantine { expected_version, value };
                if self.commits.try_send(write).is_err() {
                    log::warn!(event = "quarantine_write_dropped"; "");
                    self.state.handle_dropped_quarantine();
                }
            }
            Effect::WriteLeave { key, expected_version, value } => {
                let write = StoreWrite::Leave { key, expected_version, value };
                if self.commits.try_send(write).is_err() {
                    log::warn!(event = "leave_write_dropped"; "");
                    self.state.handle_dropped_leave();
                }
            }
            Effect::AnnounceNode => {
                if self.commits.try_send(StoreWrite::NodeRow).is_err() {
                    log::warn!(event = "announcement_dropped"; "");
                }
            }
            Effect::QueryPeer { node } => {
                let directory = self.context.directory.load();
                let key = directory.nodes.iter().find(|it| *it.name == *node).map(|it| it.key);
                if key.is_none_or(|it| self.peer_queries.try_send(it).is_err()) {
                    log::debug!(event = "peer_question_dropped", node = node.as_str(); "");
                }
            }
            Effect::CallTarget { target, call, basis } => {
                tokio::spawn(call_target(
                    self.context.clone(),
                    self.lease_calls.clone(),
                    target,
                    (call, basis),
                    boot_now(),
                ));
            }
            Effect::ProbeTarget { target } => {
                tokio::spawn(probe_target(self.context.clone(), target));
            }
            Effect::IdentifyTarget { target, path } => {
                tokio::spawn(identify_target(self.context.clone(), target, path));
            }
            Effect::CheckHealth { path } => {
                tokio::spawn(report_health(self.context.clone(), path));
            }
        }
    }
}

/// Sends a call that changes the leases of the local target, and notifies the control state of its
/// end.
async fn call_target(
    context: Arc<NodeContext>,
    client: Arc<LeaseCallClient>,
    target: TargetIncarnation,
    (call, basis): (PlannedCall, CallBasis),
    planned_at: BootInstant,
) {
    let outcome = client.call(&target, &call, &basis, planned_at).await;
    let event = ControlEvent::LeaseCallEnded { target, id: call.id, outcome };
    context.control_events.deliver(event);
}

/// Sends a health check to the target that listens beside this node and notifies the control state
/// of its id.
async fn identify_target(context: Arc<NodeContext>, target: TargetIncarnation, path: String) {
    let began_at = boot_now();
    match timeout(IDENTITY_TIMEOUT, check_health(&context, &path)).await {
        Ok(Ok(HealthAnswer { target_id: Some(target_id), cold_remaining, .. })) => {
            if let Some(remaining) = cold_remaining {
                let target_id = target_id.clone();
                let event = ControlEvent::ColdReported { target_id, remaining, asked_at: began_at };
                context.control_events.deliver(event);
            }
            let answer = ProbeAnswer::Identified { target_id };
            report_probe(&context, target, began_at, answer);
        }
        Ok(Ok(HealthAnswer { target_id: None, .. })) => log::info!(event = "target_unnamed"; ""),
        Ok(Err(error)) => log::info!(event = "target_not_identified", reason:% = error; ""),
        Err(_) => log::info!(event = "target_not_identified", reason = "timed out"; ""),
    }
}

/// Sends a health check to the target that listens beside this node and notifies the control state of
/// what it says.
async fn report_health(context: Arc<NodeContext>, path: String) {
    match timeout(IDENTITY_TIMEOUT, check_health(&context, &path)).await {
        Ok(Ok(HealthAnswer { target_id: Some(target_id), health, .. })) => {
            let event = ControlEvent::HealthChecked { target_id, health };
            context.control_events.deliver(event);
        }
        Ok(Ok(HealthAnswer { target_id: None, .. })) => log::info!(event = "target_unnamed"; ""),
        Ok(Err(error)) => log::info!(event = "health_not_checked", reason:% = error; ""),
        Err(_) => log::info!(event = "health_not_checked", reason = "timed out"; ""),
    }
}

/// The answer to a health check.
struct HealthAnswer {
    target_id: Option<String>,
    health: TargetHealth,
    /// For how long the target stays cold.
    cold_remaining: Option<Duration>,
}

async fn check_health(context: &NodeContext, path: &str) -> Result<HealthAnswer, ExchangeError> {
    let address = context.settings.load().target_address;
    let not_sent = |reason: String| ExchangeError::NotSent { reason };
    let request = Request::builder()
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|it| not_sent(it.to_string()))?;
    let mut connection = HttpConnection::connect(address, PROBE_TIMEOUT).await?;
    let response = connection.exchange(request, BodyBuffer::new(MAX_IDENTITY_BYTES)).await?;
    let headers = &response.parts.headers;
    let id = headers.get(header_names::TARGET_ID).and_then(|it| it.to_str().ok());
    let health = match response.parts.status {
        StatusCode::OK => TargetHealth::Ready,
        _ if headers.contains_key(header_names::NOT_RUN) => TargetHealth::Unknown,
        _ => TargetHealth::NotReady,
    };
    let target_id = id.map(str::to_owned);
    Ok(HealthAnswer { target_id, health, cold_remaining: decode_cold_remaining(headers) })
}

/// Notifies the control state if the address of the local target refuses two connections in a row.
async fn probe_target(context: Arc<NodeContext>, target: TargetIncarnation) {
    let began_at = boot_now();
    for _ in 0..2 {
        let address = context.settings.load().target_address;
        match connect_tcp(address, PROBE_TIMEOUT).await {
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Ok(_) | Err(_) => return,
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    report_probe(&context, target, began_at, ProbeAnswer::Refused);
}

fn report_probe(
    context: &NodeContext,
    target: TargetIncarnation,
    began_at: BootInstant,
    answer: ProbeAnswer,
) {
    let open_connections = context.target_connections.open() + context.heartbeat_connections.open();
    let probe = TargetProbe { target, began_at, answer, open_connections };
    context.control_events.deliver(ControlEvent::TargetProbed(probe));
}
