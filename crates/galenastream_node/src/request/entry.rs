//! Handling of a request at the node that receives it from its caller.

use std::sync::{Arc, PoisonError, atomic::Ordering};

use bytes::Bytes;
use galenastream_routing::Suspicion;
use galenastream_runtime::{boot_now, sleep_until};
use http::{Request, Response};
use metrics::counter;

use super::{
    answer::{refusal_response, target_response},
    attempts::Attempts,
    caller_request::{CallerRequest, RequestAddress},
    fingerprint::fingerprint_at_entry,
    long_answer::announce_answer,
    refusal::Refusal,
};
use crate::{
    connection::RequestError,
    process::{CountGuard, TrafficState},
    version::{ConfigDoubt, RoutingTable},
};

/// `Retry-After` of a node that is about to stop. Its successor starts within about this time.
const CLOSING_RETRY_AFTER_MS: u32 = 300;

/// `Retry-After` of a request whose route has no service to choose. Another config may name one.
const NO_DESTINATION_RETRY_AFTER_MS: u32 = 1_000;

/// Runs a caller's request at a target, or refuses it, and returns the response to the caller.
pub async fn answer_caller(
    traffic: &Arc<TrafficState>,
    request: Request<Bytes>,
) -> Response<Bytes> {
    let _counted = CountGuard::new(&traffic.in_progress);
    let (parts, body) = request.into_parts();
    if traffic.context.is_refusing.load(Ordering::Relaxed) {
        let refusal = Refusal::NotRun { retry_after_ms: CLOSING_RETRY_AFTER_MS };
        return refuse(traffic, refusal, &RequestAddress::of(&parts), None);
    }
    let Some(routing) = traffic.context.routing.load_full() else {
        return refuse(traffic, Refusal::NoConfig, &RequestAddress::of(&parts), None);
    };
    match CallerRequest::parse(&parts, body, &routing) {
        Ok(mut request) => {
            if let Some(wait_ms) = request.wait_ms {
                let target_latency_ms = request.route.target_latency_ms;
                request.waited_ms = traffic.waited_before_ms(target_latency_ms, wait_ms);
            }
            process_request(traffic, &routing, request).await
        }
        Err(refusal) => refuse(traffic, refusal, &RequestAddress::of(&parts), Some(&routing)),
    }
}

/// Refuses a request that could not be read as a whole. `head` is its head, if that could be read.
pub fn refuse_unread(
    traffic: &TrafficState,
    error: RequestError,
    head: Option<&Request<()>>,
) -> Response<Bytes> {
    let refusal = match error {
        RequestError::Malformed => Refusal::Malformed,
        RequestError::HeadersTooLong => Refusal::HeadersTooLong,
        RequestError::BodyTooLong => Refusal::TooLong,
        RequestError::LimitsUnknown => Refusal::NoConfig,
        RequestError::NoMemory => Refusal::NoMemory,
        RequestError::Unsupported => Refusal::Unsupported,
    };
    let address = head.map(|it| RequestAddress::of_head(it.headers(), it.uri()));
    refuse(traffic, refusal, &address.unwrap_or_default(), None)
}

/// Ends a request before its first attempt. The log line names the config that decided. `used` is
/// the routing table that does not allow the request.
fn refuse(
    traffic: &TrafficState,
    refusal: Refusal,
    address: &RequestAddress<'_>,
    used: Option<&Arc<RoutingTable>>,
) -> Response<Bytes> {
    let doubt = config_doubt(traffic, used);
    let refusal = if doubt.is_some() { refusal.under_doubt() } else { refusal };
    counter!("galenastream_refused_total", "reason" => refusal.as_str()).increment(1);
    if traffic.may_log() {
        let routing = traffic.context.routing.load();
        let config_age = routing.as_ref().map(|it| boot_now().saturating_since(it.in_force_since));
        log::info!(
            event = "request_refused",
            request_id = address.request_id,
            host = address.host,
            path = address.path,
            reason = refusal.as_str(),
            status = refusal.status(),
            config_version = routing.as_ref().map(|it| it.version.0),
            config_age_ms = config_age.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
            config_doubt = doubt.map(ConfigDoubt::as_str);
            ""
        );
    }
    refusal_response(refusal, address.request_id)
}

/// Why the config that does not allow a request may be older than the newest one. `used` is the
/// routing table that decided.
pub(super) fn config_doubt(
    traffic: &TrafficState,
    used: Option<&Arc<RoutingTable>>,
) -> Option<ConfigDoubt> {
    // Another table may have been published, and the doubt ended, since the request was looked up.
    let in_force = traffic.context.routing.load();
    let is_replaced = used.is_some_and(|it| !in_force.as_ref().is_some_and(|f| Arc::ptr_eq(f, it)));
    if is_replaced {
        return Some(ConfigDoubt::NewerAnnounced);
    }
    let published = *traffic.context.config_doubt.lock().unwrap_or_else(PoisonError::into_inner);
    published.at(boot_now())
}

/// Attempts a request until its deadline and builds the response to the caller.
async fn process_request(
    traffic: &Arc<TrafficState>,
    routing: &RoutingTable,
    request: CallerRequest,
) -> Response<Bytes> {
    let _counted = CountGuard::new(&traffic.in_progress);
    let fingerprint = fingerprint_at_entry(&request, &traffic.caller_service());
    if traffic.context.quarantine.suspicion(fingerprint) == Suspicion::Quarantined {
        return refuse(traffic, Refusal::Quarantined, &request.address(), None);
    }
    let Some(attempts) = Attempts::new(traffic, routing, &request, fingerprint) else {
        let refusal = Refusal::NotRun { retry_after_ms: NO_DESTINATION_RETRY_AFTER_MS };
        return refuse(traffic, refusal, &request.address(), None);
    };
    let announced = match announce_answer(traffic, &request) {
        Ok(announced) => announced,
        Err(refusal) => return refuse(traffic, refusal, &request.address(), None),
    };
    let result = tokio::select! {
        result = attempts.run() => result,
        () = sleep_until(request.deadline.at()) => Err(Refusal::TimedOut),
    };
    // The answer has reserved its memory.
    drop(announced);
    if let Ok(reply) = &result
        && request.route.kind.has_long_answers()
        && (200..300).contains(&reply.status)
    {
        traffic.caller_answers.add(reply.body.len());
    }
    attempts.record_result(&result);
    match result {
        Ok(reply) => target_response(reply),
        Err(refusal) => refusal_response(refusal, &request.id),
    }
}
