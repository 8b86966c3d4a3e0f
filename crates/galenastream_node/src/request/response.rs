//! The HTTP answer to a caller.

use bytes::Bytes;
use galenastream_routing::{NotRunReason, Outcome, UnknownReason};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use volo_http::body::Body;

use super::{Refusal, Reply, TargetResponse, append_all, format_ticket, headers};

const MS_PER_SECOND: u32 = 1_000;

#[derive(Serialize)]
struct Explanation<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

/// The answer to a request that was routed.
pub fn respond(reply: Reply, request_id: &str) -> Response<Body> {
    let outcome = reply.outcome;
    let owner = reply.owner;
    let ticket = reply.ticket;
    let mut response = match reply.response {
        Some(response) if outcome == Outcome::Ran => pass_on(response),
        _ => explain_outcome(outcome, reply.retry_after_ms, request_id),
    };
    let fields = response.headers_mut();
    put(fields, headers::OUTCOME, outcome.as_str());
    put(fields, headers::REQUEST_ID, request_id);
    if let Some(owner) = owner {
        put(fields, headers::OWNER, &owner.to_string());
    }
    if let Some(ticket) = ticket {
        put(fields, headers::TICKET, &format_ticket(&ticket));
    }
    response
}

/// The answer to a request that breaks a rule of the interface.
pub fn respond_refusal(refusal: &Refusal, request_id: &str) -> Response<Body> {
    let explanation = Explanation {
        outcome: "not-run",
        reason: refusal.as_str(),
        message: &refusal.to_string(),
        request_id,
        retry_after_ms: None,
    };
    let mut response = json_response(refusal.status(), &explanation);
    put(response.headers_mut(), headers::OUTCOME, "not-run");
    put(response.headers_mut(), headers::REASON, refusal.as_str());
    put(response.headers_mut(), headers::REQUEST_ID, request_id);
    response
}

/// A JSON document as a response.
pub fn json_response<T: Serialize>(status: StatusCode, document: &T) -> Response<Body> {
    let text = serde_json::to_string(document).unwrap_or_else(|_| "{}".to_owned());
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn pass_on(target: TargetResponse) -> Response<Body> {
    let mut response = Response::new(Body::from(target.body));
    *response.status_mut() = StatusCode::from_u16(target.status).unwrap_or(StatusCode::BAD_GATEWAY);
    append_all(response.headers_mut(), &target.headers);
    response
}

fn explain_outcome(outcome: Outcome, retry_after_ms: u32, request_id: &str) -> Response<Body> {
    let (reason, message) = describe(outcome);
    let explanation = Explanation {
        outcome: outcome.as_str(),
        reason,
        message,
        request_id,
        retry_after_ms: (retry_after_ms > 0).then_some(retry_after_ms),
    };
    let mut response = json_response(status_of(outcome), &explanation);
    put(response.headers_mut(), headers::REASON, reason);
    if retry_after_ms > 0 {
        put(response.headers_mut(), headers::RETRY_AFTER_MS, &retry_after_ms.to_string());
        let retry_after_seconds = retry_after_ms.div_ceil(MS_PER_SECOND).to_string();
        put(response.headers_mut(), "retry-after", &retry_after_seconds);
    }
    response
}

fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::NotRun(NotRunReason::Invalid) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(NotRunReason::DeadlinePassed)
        | Outcome::Unknown(UnknownReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(UnknownReason::TicketExpired) => StatusCode::CONFLICT,
        Outcome::Ran | Outcome::NotRun(_) | Outcome::Unknown(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn describe(outcome: Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Ran => ("none", "the request ran"),
        Outcome::NotRun(reason) => (reason.as_str(), describe_not_run(reason)),
        Outcome::Unknown(reason) => (reason.as_str(), describe_unknown(reason)),
    }
}

fn describe_not_run(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoRoute => "no owner of the key is known at the moment; come back later",
        NotRunReason::NotOwner => "the key has changed its owner; come back later",
        NotRunReason::Moving => "the key is moving to another owner; come back later",
        NotRunReason::Overloaded => "the owner of the key has no room; come back later",
        NotRunReason::DeadlinePassed => "the deadline passed before the request ran",
        NotRunReason::TargetUnavailable => "the owner's target cannot be reached; come back later",
        NotRunReason::PeerUnavailable => "the owner's node cannot be reached; come back later",
        NotRunReason::Draining => "the node is leaving; connect to another one",
        NotRunReason::SettingsBehind => "the node waits for newer settings; come back later",
        NotRunReason::Invalid => "the request breaks a rule of the interface; correct it",
    }
}

fn describe_unknown(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::ConnectionLost => {
            "the connection to the target broke after the request was sent; \
             ask again with the same ticket, or check whether it ran"
        }
        UnknownReason::PeerLost => {
            "the connection to the owner's node broke after the request was sent; \
             ask again with the same ticket, or check whether it ran"
        }
        UnknownReason::DeadlinePassed => {
            "the deadline passed while the request may have been running; \
             ask again with the same ticket, or check whether it ran"
        }
        UnknownReason::TicketExpired => {
            "the ticket belongs to an earlier owner of the key; \
             check whether the request ran, then obtain a new ticket"
        }
        UnknownReason::InProgress => {
            "the first request with this ticket is still in progress; ask again later"
        }
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    let Ok(value) = HeaderValue::from_maybe_shared(Bytes::copy_from_slice(value.as_bytes())) else {
        return;
    };
    headers.insert(name, value);
}
