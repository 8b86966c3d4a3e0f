//! Replies to forwarded requests from the results at the target.

use galenastream_adapter::{decode_load, header_names};
use galenastream_ranges::TargetIncarnation;
use galenastream_routing::ToldLoad;
use galenastream_runtime::{WholeResponse, boot_now, end_to_end_headers};
use galenastream_utils::BootInstant;
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyOutcome, ReplyReason};
use http::{HeaderMap, header};
use metrics::counter;

use super::{
    fingerprint::fingerprint_of_forwarded, response_proof::ResponseProof, target_run::key_of,
};
use crate::{
    connection::TargetResult,
    process::{ControlEvent, TrafficState},
};

/// `Retry-After` while keys move, or while a target or its node is leaving or replaced. Also used
/// if a target rejects a request without this header, and the least for a long answer without room.
pub(super) const MOVING_RETRY_AFTER_MS: u32 = 100;

/// `Retry-After` if there is no target or it cannot be reached.
pub(super) const UNREACHABLE_RETRY_AFTER_MS: u32 = 300;

/// `Retry-After` if a request is too long for the memory that a node has left for it.
pub const TOO_LONG_RETRY_AFTER_MS: u32 = 300;

/// Converts the result of a request to the target into a reply.
pub(super) fn reply_from_result(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    sent_at: BootInstant,
    result: TargetResult,
) -> ForwardedReply {
    let (response, is_first) = match result {
        TargetResult::Response { response, is_first } => (response, is_first),
        TargetResult::Unreachable { reason } => {
            log::info!(event = "target_unreachable", request_id = request.request_id.as_str(), reason = reason.as_str(); "");
            return not_sent(ReplyReason::TargetUnreachable, UNREACHABLE_RETRY_AFTER_MS);
        }
        TargetResult::Unknown { reason } => {
            log::info!(
                event = "target_answer_lost",
                request_id = request.request_id.as_str(),
                fingerprint:% = fingerprint_of_forwarded(request),
                reason = reason.as_str();
                ""
            );
            return unknown(ReplyReason::ConnectionLost);
        }
        TargetResult::TooLong { bytes } => {
            log::info!(event = "target_answer_too_long", request_id = request.request_id.as_str(), bytes; "");
            return unknown(ReplyReason::AnswerTooLong);
        }
    };
    let (status, headers) = (response.parts.status, &response.parts.headers);
    let ids = (&*request.request_id, &*request.target_id);
    let proof = ResponseProof::of(status, headers, ids, is_first);
    if let Some(event) = proof.unaccepted_event()
        && traffic.may_log()
    {
        log_unaccepted(event, request, &response);
    }
    if matches!(proof, ResponseProof::Answer | ResponseProof::NotRun) {
        record_load(traffic, headers);
        traffic.update_announcement(|it| {
            if it.is_of(&request.target_id, request.target_born_ms) {
                it.record_response(headers, &request.request_id, sent_at, boot_now());
            }
        });
    }
    match proof {
        ResponseProof::Answer => ForwardedReply {
            outcome: ReplyOutcome::Answered as i32,
            status: u32::from(status.as_u16()),
            headers: end_to_end_headers(headers),
            body: response.body,
            ..Default::default()
        },
        ResponseProof::NotRun => rejected(&response),
        ResponseProof::Misdirected => {
            report_denied_key(traffic, request, headers);
            rejected(&response)
        }
        ResponseProof::Stray => {
            // Closes the idle connections, so that no other response that is still under way is
            // read.
            traffic.target_connections.clear();
            counter!("galenastream_stray_answers_total").increment(1);
            unknown(ReplyReason::BadAnswer)
        }
        ResponseProof::Unsigned => unknown(ReplyReason::UnsignedAnswer),
        ResponseProof::Encoded => unknown(ReplyReason::BadAnswer),
    }
}

/// Passes on what a response tells of the load of the target.
fn record_load(traffic: &TrafficState, headers: &HeaderMap) {
    let Some(load) = decode_load(headers) else {
        return;
    };
    if let Some(pace_percent) = load.pace_percent {
        traffic.admission.record_told_load(ToldLoad { running: load.running, pace_percent });
    }
}

/// Tells the control thread that the target does not hold the key of a request, unless another target
/// has refused it.
fn report_denied_key(traffic: &TrafficState, request: &ForwardedRequest, headers: &HeaderMap) {
    let named = headers.get(header_names::TARGET_ID);
    let is_other = named.is_some_and(|it| it.as_bytes() != request.target_id.as_bytes());
    let Some(key) = key_of(request).filter(|_| !is_other) else {
        return;
    };
    let target = TargetIncarnation::new(request.target_id.as_str(), request.target_born_ms);
    if traffic.may_log() {
        log::info!(event = "key_denied", request_id = request.request_id.as_str(), key, target:%; "");
    }
    traffic.context.control_events.notify(ControlEvent::KeyDenied { target, key });
}

/// Logs a response that is not accepted as the answer to its request.
fn log_unaccepted(event: &str, request: &ForwardedRequest, response: &WholeResponse) {
    log::info!(
        event,
        request_id = request.request_id.as_str(),
        target_id = request.target_id.as_str(),
        status = response.parts.status.as_u16(),
        is_signed = response.parts.headers.contains_key(header_names::SIGNATURE),
        body_bytes = response.body.len();
        ""
    );
}

fn rejected(response: &WholeResponse) -> ForwardedReply {
    let value = response.parts.headers.get(header::RETRY_AFTER);
    let seconds = value.and_then(|it| it.to_str().ok()?.trim().parse::<f64>().ok());
    let retry_after_ms = seconds.map_or(MOVING_RETRY_AFTER_MS, |it| (it * 1_000.0).max(0.0) as u32);
    ForwardedReply {
        outcome: ReplyOutcome::Rejected as i32,
        reason: ReplyReason::TargetRejected as i32,
        status: u32::from(response.parts.status.as_u16()),
        retry_after_ms,
        ..Default::default()
    }
}

/// The reply to a request that was not sent to the target.
pub fn not_sent(reason: ReplyReason, retry_after_ms: u32) -> ForwardedReply {
    ForwardedReply {
        outcome: ReplyOutcome::NotSent as i32,
        reason: reason as i32,
        retry_after_ms,
        ..Default::default()
    }
}

/// The reply to a request that may have run.
pub fn unknown(reason: ReplyReason) -> ForwardedReply {
    ForwardedReply {
        outcome: ReplyOutcome::Unknown as i32,
        reason: reason as i32,
        ..Default::default()
    }
}
