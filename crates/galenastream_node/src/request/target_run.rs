//! A request at the node beside its target.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use galenastream_adapter::header_names;
use galenastream_routing::{Class, Deadline};
use galenastream_runtime::{WholeResponse, append_all, boot_now, end_to_end, sleep_until};
use galenastream_utils::BootInstant;
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyOutcome, ReplyReason};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use metrics::counter;
use tokio_util::sync::CancellationToken;

use crate::{
    connection::TargetResult,
    process::{CountGuard, LocalTarget, TrafficState},
};

/// How long a request waits for its key to be granted to the target: about the rest of a move.
const KEY_WAIT: Duration = Duration::from_millis(250);

/// One in this part of the time until an answer loses its worth: how long a request waits for its
/// key at most. Held for longer, it had better come back.
const KEY_WAIT_DIVISOR: u32 = 2;

/// How long before the acknowledged leave of a target binds this node stops sending to it.
const LEAVE_MARGIN: Duration = Duration::from_millis(400);

/// Operators set the target latency of a route to about this many times its service time.
const GUESS_DIVISOR: u32 = 3;

/// When to come back while keys are on the move.
const MOVING_RETRY_AFTER_MS: u32 = 100;

/// When to come back to a target that cannot be reached.
const UNREACHABLE_RETRY_AFTER_MS: u32 = 300;

/// Runs a request at the target beside this node.
///
/// When the future is dropped, the caller has left: an idempotent request is broken off, another one
/// only if it has not been sent to the target yet.
pub async fn run_at_target(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
) -> ForwardedReply {
    let caller_left = CancellationToken::new();
    if request.is_idempotent {
        return run_counted(traffic, request, &caller_left).await;
    }
    let _tells = caller_left.clone().drop_guard();
    let traffic = traffic.clone();
    let running = tokio::spawn(async move { run_counted(&traffic, request, &caller_left).await });
    running.await.unwrap_or_else(|error| {
        log::error!(event = "request_task_failed", reason:% = error; "");
        unknown(ReplyReason::ConnectionLost)
    })
}

async fn run_counted(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    caller_left: &CancellationToken,
) -> ForwardedReply {
    let _counted = CountGuard::new(&traffic.in_progress);
    let _pending = traffic.count_pending();
    let arrived_at = boot_now();
    let deadline = Deadline::new(arrived_at, request.remaining_ms);
    let prompt = Deadline::new(arrived_at, request.prompt_ms);
    let (request_id, rank) = (request.request_id.clone(), request.rank);
    let mut reply = run(traffic, request, prompt, deadline, caller_left).await;
    reply.pending = traffic.pending();
    reply.service_time_us = traffic.service_time_us();
    record(traffic, &request_id, rank, arrived_at, &reply);
    reply
}

/// Logs a request that its target did not answer, with what decided that.
fn record(
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

/// Runs a request that another node sent, unless this one is about to end.
pub async fn run_for_peer(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
) -> ForwardedReply {
    if traffic.context.is_refusing.load(Ordering::Relaxed) {
        return not_sent(ReplyReason::Draining, MOVING_RETRY_AFTER_MS);
    }
    run_at_target(traffic, request).await
}

async fn run(
    traffic: &Arc<TrafficState>,
    request: ForwardedRequest,
    prompt: Deadline,
    deadline: Deadline,
    caller_left: &CancellationToken,
) -> ForwardedReply {
    let entitled = tokio::select! {
        entitled = await_entitled(traffic, &request, deadline) => entitled,
        () = caller_left.cancelled() => return not_sent(ReplyReason::CallerLeft, 0),
    };
    if let Err(reply) = entitled {
        return reply;
    }
    if let Some(key) = key_of(&request) {
        // What is refused counts too: the load of a key is what its callers ask for.
        traffic.context.key_meter.lock().unwrap_or_else(|it| it.into_inner()).add(key);
    }
    let rank = u8::try_from(request.rank).unwrap_or(u8::MAX);
    let class_index = u16::try_from(request.target_latency_ms).unwrap_or(u16::MAX);
    let class = Class::new(class_index, u8::MAX - rank);
    let guess = Duration::from_millis(u64::from(request.target_latency_ms)) / GUESS_DIVISOR;
    traffic.admission.assume_service_time(class, guess);
    let admitted = tokio::select! {
        admitted = traffic.admission.admit_promptly(class, prompt, deadline) => admitted,
        () = caller_left.cancelled() => return not_sent(ReplyReason::CallerLeft, 0),
    };
    let mut slot = match admitted {
        Ok(slot) => slot,
        Err(refused) => return not_sent(ReplyReason::Overloaded, refused.retry_after_ms),
    };
    // Things may have changed while the request waited.
    if let Err(reply) = check_entitled(traffic, &request) {
        return reply;
    }
    let Some(outgoing) = build(&request, deadline) else {
        return not_sent(ReplyReason::Invalid, 0);
    };
    // Where targets hold keys, other requests say nothing of how many of the keyed ones they can take.
    let is_typical = key_of(&request).is_some() || !holds_keys(traffic);
    let began_at = boot_now();
    let result = tokio::select! {
        result = traffic.target_connections.send(outgoing) => result,
        () = sleep_until(deadline.at()) => return unknown(ReplyReason::DeadlinePassed),
    };
    let reply = judge(traffic, &request, result);
    if reply.outcome == ReplyOutcome::Answered as i32 {
        slot.answered();
        if reply.status < 500 && is_typical {
            traffic.add_service_time(boot_now().saturating_since(began_at), guess);
        }
    }
    reply
}

/// Waits until the target may run the request, if that is to be expected soon.
async fn await_entitled(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    deadline: Deadline,
) -> Result<(), ForwardedReply> {
    let prompt = Duration::from_millis(u64::from(request.prompt_ms));
    let until = deadline.at().min(boot_now() + KEY_WAIT.min(prompt / KEY_WAIT_DIVISOR));
    let mut changes = traffic.context.directory_changes.subscribe();
    loop {
        let refused = match check_entitled(traffic, request) {
            Ok(()) => return Ok(()),
            Err(refused) => refused,
        };
        if refused.reason != ReplyReason::NotOwner as i32 || !is_expected(traffic, request) {
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

/// Whether the key of a request belongs to the target, though it has no lease on it yet.
fn is_expected(traffic: &TrafficState, request: &ForwardedRequest) -> bool {
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

/// Whether the target may run the request now.
fn check_entitled(
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
    let now = boot_now();
    if has_left(traffic, local, now) {
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

fn has_left(traffic: &TrafficState, local: &LocalTarget, now: BootInstant) -> bool {
    let Some(acknowledged_at) = local.draining_since else {
        return false;
    };
    let bound = Duration::from_millis(traffic.context.settings.load().bounds.drain_ms);
    now >= acknowledged_at + bound.saturating_sub(LEAVE_MARGIN)
}

fn build(request: &ForwardedRequest, deadline: Deadline) -> Option<Request<Full<Bytes>>> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let has_body = !request.body.is_empty() || expects_body(&method);
    let mut outgoing = Request::builder()
        .method(method)
        .uri(request.path.as_str())
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(&request.host).ok()?);
    append_all(headers, &request.headers);
    headers.insert(header_names::DEADLINE_MS, remaining(deadline));
    headers.insert(header_names::EXPECTED_TARGET, HeaderValue::from_str(&request.target_id).ok()?);
    if has_body {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    Some(outgoing)
}

fn expects_body(method: &Method) -> bool {
    *method == Method::POST || *method == Method::PUT || *method == Method::PATCH
}

fn remaining(deadline: Deadline) -> HeaderValue {
    HeaderValue::from(deadline.remaining_ms(boot_now()).max(1))
}

/// Judges what came of a request at the target.
fn judge(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    result: TargetResult,
) -> ForwardedReply {
    let response = match result {
        TargetResult::Response(response) => response,
        TargetResult::Unreachable { reason } => {
            log::info!(event = "target_unreachable", request_id = request.request_id.as_str(), reason = reason.as_str(); "");
            return not_sent(ReplyReason::TargetUnreachable, UNREACHABLE_RETRY_AFTER_MS);
        }
        TargetResult::Unknown { reason } => {
            log::info!(event = "target_answer_lost", request_id = request.request_id.as_str(), reason = reason.as_str(); "");
            return unknown(ReplyReason::ConnectionLost);
        }
    };
    let headers = &response.parts.headers;
    if !echoes(headers, &request.request_id) {
        // The bytes belong to another request. Whatever else is on the way must not be read.
        traffic.target_connections.clear();
        counter!("galenastream_stray_answers_total").increment(1);
        log::info!(event = "target_answer_stray", request_id = request.request_id.as_str(); "");
        return unknown(ReplyReason::BadAnswer);
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return unknown(ReplyReason::BadAnswer);
    }
    if headers.contains_key(header_names::NOT_RUN)
        || response.parts.status == StatusCode::MISDIRECTED_REQUEST
    {
        return rejected(&response);
    }
    ForwardedReply {
        outcome: ReplyOutcome::Answered as i32,
        status: u32::from(response.parts.status.as_u16()),
        headers: end_to_end(headers),
        body: response.body,
        ..Default::default()
    }
}

/// Whether a response names the request that it answers.
fn echoes(headers: &HeaderMap, request_id: &str) -> bool {
    let Some(echoed) = headers.get(header_names::REQUEST_ID) else {
        // A refusal of the whole request need not name it.
        return headers.contains_key(header_names::NOT_RUN);
    };
    echoed.as_bytes() == request_id.as_bytes()
}

fn rejected(response: &WholeResponse) -> ForwardedReply {
    let said = response.parts.headers.get(header::RETRY_AFTER);
    let seconds = said.and_then(|it| it.to_str().ok()?.trim().parse::<f64>().ok());
    let retry_after_ms = seconds.map_or(MOVING_RETRY_AFTER_MS, |it| (it * 1_000.0).max(0.0) as u32);
    ForwardedReply {
        outcome: ReplyOutcome::Rejected as i32,
        reason: ReplyReason::TargetRejected as i32,
        status: u32::from(response.parts.status.as_u16()),
        retry_after_ms,
        ..Default::default()
    }
}

fn not_sent(reason: ReplyReason, retry_after_ms: u32) -> ForwardedReply {
    ForwardedReply {
        outcome: ReplyOutcome::NotSent as i32,
        reason: reason as i32,
        retry_after_ms,
        ..Default::default()
    }
}

fn unknown(reason: ReplyReason) -> ForwardedReply {
    ForwardedReply {
        outcome: ReplyOutcome::Unknown as i32,
        reason: reason as i32,
        ..Default::default()
    }
}

fn key_of(request: &ForwardedRequest) -> Option<u16> {
    u16::try_from(request.key_plus_one.checked_sub(1)?).ok()
}
