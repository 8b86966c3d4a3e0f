//! Withdrawal of requests that have not been sent to their targets yet, when a process is about to end.

use std::time::Duration;

use galenastream_routing::Deadline;
use galenastream_runtime::boot_now;
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyReason};
use tokio_util::sync::CancellationToken;

use super::target_reply::{MOVING_RETRY_AFTER_MS, not_sent};
use crate::process::TrafficState;

/// Operators set the target latency of a route to about this many times its service time. The
/// service time is estimated with it until it is measured.
const SERVICE_TIME_ESTIMATE_DIVISOR: u32 = 3;

/// What ends a request that waits to be sent to the target beside this node.
#[derive(Debug, Clone, Default)]
pub struct Withdrawal {
    /// Cancelled when the caller has left.
    pub(super) caller_left: CancellationToken,
    /// Cancelled when the node of the caller is about to end.
    by_node: CancellationToken,
}

impl Withdrawal {
    /// Creates the withdrawal of a request of another node, which cancels `by_node`.
    pub fn new(by_node: CancellationToken) -> Self {
        Self { caller_left: CancellationToken::new(), by_node }
    }

    /// Completes when the request need not, or can no longer, be sent. Returns the reply to it.
    pub(super) async fn reply(
        &self,
        traffic: &TrafficState,
        request: &ForwardedRequest,
    ) -> ForwardedReply {
        let measured = traffic.measured_service_time();
        let duration = measured.unwrap_or_else(|| estimate(request.target_latency_ms));
        tokio::select! {
            () = self.caller_left.cancelled() => not_sent(ReplyReason::CallerLeft, 0),
            () = self.by_node.cancelled() => {
                not_sent(ReplyReason::Draining, MOVING_RETRY_AFTER_MS)
            }
            () = traffic.end.too_late_for(duration) => {
                not_sent(ReplyReason::Draining, MOVING_RETRY_AFTER_MS)
            }
        }
    }
}

/// The estimated service time of requests with a target latency.
pub(super) fn estimate(target_latency_ms: u32) -> Duration {
    Duration::from_millis(u64::from(target_latency_ms)) / SERVICE_TIME_ESTIMATE_DIVISOR
}

/// The deadlines of a request for admission. Those of the processes that pass its answer on count too if
/// they are about to end: a request that would wait for longer is refused at once.
pub(super) fn admission_deadlines(
    traffic: &TrafficState,
    answer_within_ms: u32,
    (soft_deadline, deadline): (Deadline, Deadline),
) -> (Deadline, Deadline) {
    let of_sender = (answer_within_ms > 0).then_some(answer_within_ms);
    let own = traffic.end.time_left_ms();
    let Some(left_ms) = of_sender.into_iter().chain(own).min() else {
        return (soft_deadline, deadline);
    };
    let end = Deadline::new(boot_now(), left_ms);
    (soft_deadline.min(end), deadline.min(end))
}
