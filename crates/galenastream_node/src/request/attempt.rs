//! One attempt to run a request at one target.

use std::{sync::Arc, time::Duration};

use galenastream_adapter::header_names;
use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{NodeKey, ObservedLoad, RequestFingerprint};
use galenastream_runtime::{PeerError, boot_now};
use galenastream_utils::BootInstant;
use galenastream_wire::{
    ForwardedReply, ForwardedRequest, Header, ReplyOutcome, ReplyReason, peer_frame::Body,
};

use super::{
    caller_request::CallerRequest,
    response_proof::is_final_status,
    target_reply::{TOO_LONG_RETRY_AFTER_MS, not_sent, unknown},
    target_run::{AnswerWay, run_at_target},
    withdrawal::{Withdrawal, estimate},
};
use crate::process::{NodeEntry, TrafficState};

/// Grace period after the request's deadline for a peer's reply to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(50);

/// The node and the target that an attempt goes to.
#[derive(Debug, Clone)]
pub(super) struct Destination {
    pub(super) node: NodeEntry,
    pub(super) target: TargetIncarnation,
    /// Since when the target leaves.
    pub(super) leaving_since: Option<BootInstant>,
    /// Whether another target is attempted if this one refuses the request.
    pub(super) has_alternatives: bool,
}

/// Sends a request to a target, waits for the reply, and records its result and the reported load,
/// which influence the choice of targets.
///
/// If the node beside the target does not react, the attempt is given up if `may_retry` returns true
/// at that moment.
pub(super) async fn attempt(
    traffic: &Arc<TrafficState>,
    request: &CallerRequest,
    fingerprint: RequestFingerprint,
    key: Option<u16>,
    destination: &Destination,
    may_retry: impl Fn() -> bool,
) -> ForwardedReply {
    let node = destination.node.key;
    let suspect = traffic.context.quarantine.record_of(fingerprint);
    let message =
        ForwardedRequest { suspect, ..forwarded_request(traffic, request, key, destination) };
    let reply = {
        let _in_progress = InProgressGuard::new(traffic, node);
        if destination.node.is_local {
            run_at_target(traffic, message, AnswerWay::Local, Withdrawal::default()).await.reply
        } else {
            forward_to_peer(traffic, destination, message, may_retry).await
        }
    };
    let now = boot_now();
    record_suspicion(traffic, fingerprint, &reply, now);
    let has_limit_ended = reply
        .announcement
        .is_some_and(|it| traffic.remembered().record(node, &destination.target, it, now));
    let mut placement = traffic.placement();
    if has_limit_ended {
        placement.forget_service_time(node);
    }
    if reply.service_time_us > 0 || reply.pending > 0 {
        let load = ObservedLoad { pending: reply.pending, service_time_us: reply.service_time_us };
        placement.observe(node, load, now);
    }
    placement.record_result(node, is_failure(&reply), now);
    reply
}

/// Takes over what a reply shows of a request that may crash targets.
fn record_suspicion(
    traffic: &TrafficState,
    fingerprint: RequestFingerprint,
    reply: &ForwardedReply,
    now: BootInstant,
) {
    let quarantine = &traffic.context.quarantine;
    if let Some(record) = &reply.suspect {
        quarantine.merge(record, now);
    }
    if reply.outcome == ReplyOutcome::Answered as i32 {
        quarantine.record_answer(fingerprint, now);
    }
}

async fn forward_to_peer(
    traffic: &Arc<TrafficState>,
    destination: &Destination,
    message: ForwardedRequest,
    may_retry: impl Fn() -> bool,
) -> ForwardedReply {
    let reply_timeout = Duration::from_millis(u64::from(message.remaining_ms)) + REPLY_GRACE;
    let (node, address) = (destination.node.key, destination.node.address);
    let withdrawal =
        traffic.end.too_late_for(expected_time(traffic, node, message.target_latency_ms));
    let body = Body::Request(message);
    let (outcome, reason) =
        match traffic.links.call(node, address, body, reply_timeout, may_retry, withdrawal).await {
            Ok(Body::Reply(reply)) if is_proved(&reply) => return reply,
            // An older version of the node passes on what its target did not sign, and any status.
            Ok(Body::Reply(_)) => (ReplyOutcome::Unknown, ReplyReason::UnsignedAnswer),
            Ok(_) => (ReplyOutcome::Unknown, ReplyReason::PeerLost),
            Err(PeerError::Lost) => (ReplyOutcome::Unknown, ReplyReason::PeerLost),
            Err(PeerError::TimedOut | PeerError::Unexpected) => {
                (ReplyOutcome::Unknown, ReplyReason::DeadlinePassed)
            }
            Err(PeerError::NotSent | PeerError::Unreachable | PeerError::QueueFull) => {
                (ReplyOutcome::NotSent, ReplyReason::PeerLost)
            }
            Err(PeerError::RequestTooLong) => {
                return not_sent(ReplyReason::RequestTooLong, TOO_LONG_RETRY_AFTER_MS);
            }
            Err(PeerError::ReplyTooLong) => return unknown(ReplyReason::AnswerTooLong),
        };
    ForwardedReply { outcome: outcome as i32, reason: reason as i32, ..Default::default() }
}

/// How long a request is expected to take at a target, once it has begun.
pub(super) fn expected_time(
    traffic: &TrafficState,
    node: NodeKey,
    target_latency_ms: u32,
) -> Duration {
    let observed = traffic.placement().service_time(node);
    observed.unwrap_or_else(|| estimate(target_latency_ms))
}

fn forwarded_request(
    traffic: &TrafficState,
    request: &CallerRequest,
    key: Option<u16>,
    destination: &Destination,
) -> ForwardedRequest {
    let now = boot_now();
    let mut headers = request.headers.clone();
    headers.push(Header {
        name: header_names::CALLER_SERVICE.to_owned(),
        value: traffic.caller_service().into(),
    });
    ForwardedRequest {
        request_id: request.id.clone(),
        target_id: destination.target.id.to_string(),
        target_born_ms: destination.target.born_ms,
        method: request.method.clone(),
        path: request.path.clone(),
        host: request.host.clone(),
        headers,
        body: request.body.clone(),
        remaining_ms: request.deadline.remaining_ms(now),
        rank: u32::from(request.route.rank),
        is_idempotent: request.route.kind.is_idempotent(),
        key_plus_one: key.map_or(0, |it| u32::from(it) + 1),
        prompt_ms: request.soft_deadline.remaining_ms(now),
        target_latency_ms: request.target_latency_ms(),
        sent_at_ns: now.as_ns(),
        has_alternatives: destination.has_alternatives,
        waited_ms: request.waited_ms,
        has_long_answer: request.route.kind.has_long_answers(),
        remembered: traffic.remembered().report(
            destination.node.key,
            &destination.target,
            destination.leaving_since,
            now,
        ),
        suspect: None,
        answer_within_ms: traffic.end.time_left_ms().unwrap_or(0),
    }
}

/// Whether a target was not sent a request because it has no capacity for it.
pub(super) fn is_lack_of_capacity(reason: i32) -> bool {
    let reason = ReplyReason::try_from(reason).unwrap_or(ReplyReason::None);
    matches!(
        reason,
        ReplyReason::Overloaded | ReplyReason::RateLimited | ReplyReason::NoRoomForAnswer
    )
}

/// Whether a reply with an answer carries the signature of the target that made it, and a status that an
/// answer may have.
pub(super) fn is_proved(reply: &ForwardedReply) -> bool {
    let is_valid = || u16::try_from(reply.status).is_ok_and(is_final_status);
    reply.outcome != ReplyOutcome::Answered as i32 || is_signed(reply) && is_valid()
}

/// Whether a reply carries a target's signature. Callers take a response without one for the node's
/// own.
pub(super) fn is_signed(reply: &ForwardedReply) -> bool {
    reply.headers.iter().any(|it| it.name == header_names::SIGNATURE)
}

fn is_failure(reply: &ForwardedReply) -> bool {
    let outcome = ReplyOutcome::try_from(reply.outcome).unwrap_or(ReplyOutcome::Unknown);
    match outcome {
        ReplyOutcome::Answered => reply.status >= 500,
        // The length of a request, or an evacuation, says nothing about the target.
        ReplyOutcome::NotSent => {
            let says_nothing = [ReplyReason::RequestTooLong, ReplyReason::Evacuated];
            !is_lack_of_capacity(reply.reason)
                && !says_nothing.iter().any(|it| *it as i32 == reply.reason)
        }
        ReplyOutcome::Unknown | ReplyOutcome::Rejected => true,
    }
}

/// Counts a request as in progress at a node until it is dropped.
struct InProgressGuard<'a> {
    traffic: &'a TrafficState,
    node: NodeKey,
}

impl<'a> InProgressGuard<'a> {
    fn new(traffic: &'a TrafficState, node: NodeKey) -> Self {
        traffic.placement().begin(node);
        Self { traffic, node }
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.traffic.placement().finish(self.node);
    }
}
