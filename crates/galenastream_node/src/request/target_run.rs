//! Admission and execution of a request at the node beside its target.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use galenastream_adapter::header_names;
use galenastream_routing::{Class, Deadline, RequestFingerprint, Suspicion};
use galenastream_runtime::{Transfer, append_headers, boot_now, sleep_until};
use galenastream_utils::BootInstant;
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyOutcome, ReplyReason};
use http::{HeaderValue, Method, Request, header};
use http_body_util::Full;
use metrics::counter;

use super::{
    crash::{record_lost_run, wait_for_turn},
    drain::is_drain_over,
    fingerprint::fingerprint_of_forwarded,
    long_answer::{has_room_for_answer, plan_transfer},
    refusal::QUARANTINED_RETRY_AFTER_MS,
    target_reply::{
        MOVING_RETRY_AFTER_MS, TOO_LONG_RETRY_AFTER_MS, UNREACHABLE_RETRY_AFTER_MS, not_sent,
        reply_from_result, unknown,
    },
    withdrawal::{Withdrawal, admission_deadlines, estimate},
};
use crate::{
    connection::TargetResult,
    process::{CountGuard, TrafficState},
};

/// Maximum time that a request waits for the target's lease on its key. Once the key is assigned to
/// the target, the rest of its move takes about this long.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(250);

/// The wait for a lease is also limited to the time until the soft deadline divided by this. After
/// that, a retry by the caller is better than a longer wait.
const LEASE_WAIT_DIVISOR: u32 = 2;

/// How an answer gets to the node of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerWay {
    /// It is already there: the caller is on the same VM.
    Local,
    /// Over the link of the VM.
    Link,
}

/// The reply to a request that was to run at the target beside this node.
#[derive(Debug)]
pub struct TargetRun {
    /// The reply.
    pub reply: ForwardedReply,
    /// The place of a long answer on the link.
    pub transfer: Option<Transfer>,
}

/// The indices of classes with long answers have this bit.
const LONG_ANSWER_CLASSES: u16 = 1 << 15;

/// Runs a request at the target beside this node.
///
/// Dropping the future means that the caller has left. This cancels an idempotent request at any
/// point, and any other request only until it is sent to the target.
pub(super) async fn run_at_target(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    way: AnswerWay,
    withdrawal: Withdrawal,
) -> TargetRun {
    if request.is_idempotent {
        return run_counted(traffic, request, way, &withdrawal).await;
    }
    let _cancel_on_drop = withdrawal.caller_left.clone().drop_guard();
    let traffic = traffic.clone();
    let running =
        tokio::spawn(async move { run_counted(&traffic, request, way, &withdrawal).await });
    running.await.unwrap_or_else(|error| {
        log::error!(event = "request_task_failed", reason:% = error; "");
        TargetRun::new(unknown(ReplyReason::ConnectionLost))
    })
}

async fn run_counted(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    way: AnswerWay,
    withdrawal: &Withdrawal,
) -> TargetRun {
    let _counted = CountGuard::new(&traffic.in_progress);
    let _pending = traffic.count_pending();
    let arrived_at = boot_now();
    let deadline = Deadline::new(arrived_at, request.remaining_ms);
    let soft_deadline = Deadline::new(arrived_at, request.prompt_ms);
    let (request_id, rank) = (request.request_id.clone(), request.rank);
    let (target_id, born_ms) = (request.target_id.clone(), request.target_born_ms);
    let fingerprint = fingerprint_of_forwarded(&request);
    let quarantine = &traffic.context.quarantine;
    if let Some(record) = &request.suspect {
        quarantine.merge(record, arrived_at);
    }
    let times = (soft_deadline, deadline);
    let has_long_answer = request.has_long_answer;
    let (mut reply, transfer) = match plan_transfer(traffic, &request, way, times) {
        Ok((transfer, times)) => {
            let reply = admit_and_send(traffic, request, fingerprint, times, withdrawal).await;
            let is_answered = reply.outcome == ReplyOutcome::Answered as i32;
            (reply, transfer.filter(|_| is_answered))
        }
        Err(refused) => (refused, None),
    };
    if has_long_answer && (200..300).contains(&reply.status) {
        traffic.link.add_answer_size(reply.body.len());
    }
    reply.suspect = quarantine.record_of(fingerprint).map(Box::new);
    reply.pending = traffic.pending();
    reply.service_time_us = traffic.service_time_us();
    reply.announcement = traffic.announcement_of(&target_id, born_ms);
    record_reply(traffic, &request_id, rank, arrived_at, &reply);
    TargetRun { reply, transfer }
}

/// Counts a request by the reason of its reply, and logs it if the target did not answer it.
fn record_reply(
    traffic: &TrafficState,
    request_id: &str,
    rank: u32,
    arrived_at: BootInstant,
    reply: &ForwardedReply,
) {
    let reason = ReplyReason::try_from(reply.reason).unwrap_or(ReplyReason::None);
    counter!("galenastream_target_requests_total", "reason" => reason.as_str()).increment(1);
    let now = boot_now();
    if reason == ReplyReason::None || !traffic.may_log() {
        return;
    }
    let elapsed = now.saturating_since(arrived_at);
    log::info!(
        event = "target_request_failed",
        request_id,
        rank,
        reason = reason.as_str(),
        status = reply.status,
        pending = reply.pending,
        service_time_us = reply.service_time_us,
        retry_after_ms = reply.retry_after_ms,
        elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        ""
    );
}

/// Runs a request that another node forwarded, or refuses it if this node is about to stop or the
/// request's deadline passed on its way.
pub async fn run_for_peer(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    withdrawal: Withdrawal,
) -> TargetRun {
    if traffic.context.is_refusing.load(Ordering::Relaxed) {
        return TargetRun::new(not_sent(ReplyReason::Draining, MOVING_RETRY_AFTER_MS));
    }
    if request.remaining_ms == 0 {
        counter!("galenastream_expired_requests_total").increment(1);
        let reply = not_sent(ReplyReason::DeadlinePassed, UNREACHABLE_RETRY_AFTER_MS);
        return TargetRun::new(reply);
    }
    if !has_room_for_answer(traffic) {
        let reply = not_sent(ReplyReason::NoRoomForAnswer, TOO_LONG_RETRY_AFTER_MS);
        return TargetRun::new(reply);
    }
    run_at_target(traffic, request, AnswerWay::Link, withdrawal).await
}

impl TargetRun {
    /// A reply without a long answer.
    const fn new(reply: ForwardedReply) -> Self {
        Self { reply, transfer: None }
    }
}

async fn admit_and_send(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    fingerprint: RequestFingerprint,
    (soft_deadline, deadline): (Deadline, Deadline),
    withdrawal: &Withdrawal,
) -> ForwardedReply {
    let turn = tokio::select! {
        biased;
        reply = withdrawal.reply(traffic, &request) => return reply,
        turn = wait_for_turn(traffic, fingerprint, deadline) => turn,
    };
    let turn = match turn {
        Ok(turn) => turn,
        Err(reply) => return *reply,
    };
    let runnable = tokio::select! {
        biased;
        reply = withdrawal.reply(traffic, &request) => return reply,
        runnable = wait_for_lease(traffic, &request, deadline) => runnable,
    };
    if let Err(reply) = runnable {
        return reply;
    }
    if let Some(key) = key_of(&request) {
        // Requests that are refused below count too: the load of a key is the demand for it.
        traffic.context.key_meter.lock().unwrap_or_else(|it| it.into_inner()).add(key);
    }
    let class = class_of(request.target_latency_ms, request.rank, request.has_long_answer)
        .with_alternatives(request.has_alternatives)
        .with_waited_ms(request.waited_ms);
    let estimate = estimate(request.target_latency_ms);
    traffic.admission.assume_service_time(class, estimate);
    let (soft_limit, limit) =
        admission_deadlines(traffic, request.answer_within_ms, (soft_deadline, deadline));
    let admitted = tokio::select! {
        biased;
        reply = withdrawal.reply(traffic, &request) => return reply,
        () = evacuation(traffic) => return not_sent(ReplyReason::Evacuated, MOVING_RETRY_AFTER_MS),
        admitted = traffic
            .admission
            .admit_with_soft_deadline(class, soft_limit, limit) => admitted,
    };
    let mut slot = match admitted {
        Ok(slot) => slot,
        Err(refused) => {
            let reason = match refused.is_rate_limited {
                true => ReplyReason::RateLimited,
                false => ReplyReason::Overloaded,
            };
            return not_sent(reason, refused.retry_after_ms);
        }
    };
    // The target or its leases may have changed while the request waited in the queue.
    if let Err(reply) = check_runnable(traffic, &request) {
        return reply;
    }
    // Targets may have crashed under the request while it waited in the queue.
    if traffic.context.quarantine.suspicion(fingerprint) == Suspicion::Quarantined {
        return not_sent(ReplyReason::Quarantined, QUARANTINED_RETRY_AFTER_MS);
    }
    let Some(outgoing) = http_request(&request, deadline) else {
        return not_sent(ReplyReason::Invalid, 0);
    };
    // If the target holds keys, the service times of requests without a key say nothing about its
    // capacity for requests with one.
    let is_representative = key_of(&request).is_some() || !holds_keys(traffic);
    let began_at = boot_now();
    traffic.update_announcement(|it| it.record_request(began_at));
    let result = tokio::select! {
        result = traffic.target_connections.send(outgoing) => result,
        () = sleep_until(deadline.at()) => return unknown(ReplyReason::DeadlinePassed),
    };
    let is_lost = matches!(result, TargetResult::Unknown { .. });
    let mut reply = reply_from_result(traffic, &request, began_at, result);
    if is_lost && record_lost_run(traffic, &request, fingerprint, turn.is_some()).await {
        reply.reason = ReplyReason::TargetCrashed as i32;
    }
    if reply.outcome == ReplyOutcome::Answered as i32 {
        traffic.context.quarantine.record_answer(fingerprint, boot_now());
        slot.record_response();
        if reply.status < 500 && is_representative {
            traffic.add_service_time(boot_now().saturating_since(began_at), estimate);
        }
    }
    reply
}

/// Waits until the target may run the request, if only its lease on the key is missing and expected
/// soon.
async fn wait_for_lease(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    deadline: Deadline,
) -> Result<(), ForwardedReply> {
    let soft_remaining = Duration::from_millis(u64::from(request.prompt_ms));
    let until =
        deadline.at().min(boot_now() + MAX_LEASE_WAIT.min(soft_remaining / LEASE_WAIT_DIVISOR));
    let mut changes = traffic.context.directory_changes.subscribe();
    loop {
        let refused = match check_runnable(traffic, request) {
            Ok(()) => return Ok(()),
            Err(refused) => refused,
        };
        if refused.reason != ReplyReason::NotOwner as i32 || !is_lease_expected(traffic, request) {
            return Err(refused);
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() {
                return Err(refused);
            },
            () = sleep_until(until) => return Err(refused),
        }
    }
}

/// The class of a request by its route. Long answers are a class of their own.
pub(super) fn class_of(target_latency_ms: u32, rank: u32, has_long_answer: bool) -> Class {
    let rank = u8::try_from(rank).unwrap_or(u8::MAX);
    let latency_ms = u16::try_from(target_latency_ms).unwrap_or(u16::MAX);
    let index = match has_long_answer {
        true => latency_ms | LONG_ANSWER_CLASSES,
        false => latency_ms,
    };
    Class::new(index, u8::MAX - rank).with_target_latency_ms(target_latency_ms)
}

/// Completes when nothing may be sent to the target any longer, since its data centre is evacuated.
async fn evacuation(traffic: &TrafficState) {
    let mut changes = traffic.context.directory_changes.subscribe();
    loop {
        let directory = traffic.context.directory.load();
        if directory.local.as_ref().is_some_and(|it| it.is_evacuated) {
            return;
        }
        drop(directory);
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Whether the key of a request is assigned to the target, so that a lease on it will follow.
fn is_lease_expected(traffic: &TrafficState, request: &ForwardedRequest) -> bool {
    let directory = traffic.context.directory.load();
    let (Some(local), Some(key)) = (&directory.local, key_of(request)) else {
        return false;
    };
    let Some(assignment) = directory.assignments.get(&*local.service) else {
        return false;
    };
    let owner = assignment.entry_of(key).holding.owner();
    owner.is_some_and(|it| it.target == local.incarnation)
}

/// Checks that the target may run the request now: it is the incarnation that the request names,
/// its drain period is not over, and it has a lease on the request's key, if there is one.
/// Otherwise returns the reply to send back.
///
/// Also updates the admission limits, takes over what the sending node remembers of the target's
/// announcements, and closes the idle connections if the request names another incarnation.
fn check_runnable(
    traffic: &TrafficState,
    request: &ForwardedRequest,
) -> Result<(), ForwardedReply> {
    let directory = traffic.context.directory.load();
    let Some(local) = &directory.local else {
        return Err(not_sent(ReplyReason::OtherTarget, UNREACHABLE_RETRY_AFTER_MS));
    };
    let is_same = *local.incarnation.id == *request.target_id
        && local.incarnation.born_ms == request.target_born_ms;
    if !is_same {
        traffic.target_connections.clear();
        return Err(not_sent(ReplyReason::OtherTarget, MOVING_RETRY_AFTER_MS));
    }
    traffic.set_admission_limits(&local.service, local.slots);
    traffic.set_cold_period(local.cold);
    traffic.update_announcement(|it| {
        it.set_incarnation(&local.incarnation);
        if let Some(remembered) = request.remembered {
            it.record_report(remembered, &request.request_id, boot_now());
        }
    });
    let now = boot_now();
    if local.is_evacuated {
        return Err(not_sent(ReplyReason::Evacuated, MOVING_RETRY_AFTER_MS));
    }
    if local.draining_since.is_some_and(|it| is_drain_over(traffic, it, now)) {
        return Err(not_sent(ReplyReason::Draining, MOVING_RETRY_AFTER_MS));
    }
    if !local.holds_keys {
        return Ok(());
    }
    match key_of(request) {
        Some(key) if !local.leases.covers(key, now) => {
            Err(not_sent(ReplyReason::NotOwner, MOVING_RETRY_AFTER_MS))
        }
        Some(_) | None => Ok(()),
    }
}

fn holds_keys(traffic: &TrafficState) -> bool {
    traffic.context.directory.load().local.as_ref().is_some_and(|it| it.holds_keys)
}

fn http_request(request: &ForwardedRequest, deadline: Deadline) -> Option<Request<Full<Bytes>>> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let has_body = !request.body.is_empty() || expects_body(&method);
    let mut outgoing = Request::builder()
        .method(method)
        .uri(request.path.as_str())
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(&request.host).ok()?);
    append_headers(headers, &request.headers);
    headers.insert(header_names::DEADLINE_MS, deadline_header(deadline));
    headers.insert(header_names::EXPECTED_TARGET, HeaderValue::from_str(&request.target_id).ok()?);
    if has_body {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    Some(outgoing)
}

fn expects_body(method: &Method) -> bool {
    *method == Method::POST || *method == Method::PUT || *method == Method::PATCH
}

fn deadline_header(deadline: Deadline) -> HeaderValue {
    HeaderValue::from(deadline.remaining_ms(boot_now()).max(1))
}

pub(super) fn key_of(request: &ForwardedRequest) -> Option<u16> {
    u16::try_from(request.key_plus_one.checked_sub(1)?).ok()
}
