//! Runs of requests that may crash the target, at the node beside it.
//!
//! Load pattern: see [`Quarantine`](galenastream_routing::Quarantine).

use std::pin::pin;

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{CrashId, Deadline, LostRun, RequestFingerprint, Suspicion};
use galenastream_runtime::{boot_now, sleep_until};
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyReason};

use super::{refusal::QUARANTINED_RETRY_AFTER_MS, target_reply::not_sent};
use crate::process::{ControlEvent, LocalTarget, RunningSuspect, TrafficState, describe_request};

/// A suspected request waits for other runs of it for the time to its deadline divided by this.
const TURN_WAIT_DIVISOR: u32 = 2;

/// `Retry-After` of a suspected request that the target is already running: its run shows soon whether
/// it may run.
const SUSPECT_RETRY_AFTER_MS: u32 = 300;

/// Waits until a request that is suspected of crashing targets may run here: after all other runs of
/// it, if they end while there is time to run. Returns no turn if it is not suspected, and the reply to
/// send back if it must not run.
pub(super) async fn wait_for_turn(
    traffic: &TrafficState,
    fingerprint: RequestFingerprint,
    deadline: Deadline,
) -> Result<Option<RunningSuspect<'_>>, Box<ForwardedReply>> {
    let now = boot_now();
    let until = now + deadline.remaining(now) / TURN_WAIT_DIVISOR;
    loop {
        let mut ended = pin!(traffic.suspect_ended());
        ended.as_mut().enable();
        match traffic.context.quarantine.suspicion(fingerprint) {
            Suspicion::None => return Ok(None),
            Suspicion::Suspected => {}
            Suspicion::Quarantined => {
                let reply = not_sent(ReplyReason::Quarantined, QUARANTINED_RETRY_AFTER_MS);
                return Err(Box::new(reply));
            }
        }
        if let Some(turn) = traffic.begin_suspect(fingerprint) {
            return Ok(Some(turn));
        }
        tokio::select! {
            () = ended => {}
            () = sleep_until(until) => {
                let reply = not_sent(ReplyReason::SuspectRunning, SUSPECT_RETRY_AFTER_MS);
                return Err(Box::new(reply));
            }
        }
    }
}

/// Records a run whose connection broke, and the crash of the target if it has ended. Returns whether
/// it has.
pub(super) async fn record_lost_run(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    fingerprint: RequestFingerprint,
    was_suspected: bool,
) -> bool {
    traffic.context.quarantine.record_lost_run(LostRun {
        fingerprint,
        crash: CrashId::of(&request.target_id, request.target_born_ms),
        was_suspected,
        description: describe_request(&request.method, &request.host, &request.path),
        lost_at: boot_now(),
    });
    if !has_crashed(traffic, request).await {
        return false;
    }
    let target = TargetIncarnation::new(request.target_id.as_str(), request.target_born_ms);
    traffic.context.quarantine.record_crash(&target, boot_now());
    // The control thread tells the other nodes at once.
    traffic.context.control_events.notify(ControlEvent::TargetCrashed);
    true
}

/// Whether the target has ended without having announced it: the connection of a request broke, and
/// nothing listens at its address any more. A connection that was reset alone proves nothing.
async fn has_crashed(traffic: &TrafficState, request: &ForwardedRequest) -> bool {
    let is_leaving =
        |it: &LocalTarget| *it.incarnation.id == *request.target_id && it.draining_since.is_some();
    if traffic.context.directory.load().local.as_ref().is_some_and(is_leaving) {
        return false;
    }
    traffic.target_connections.is_refused().await
}
