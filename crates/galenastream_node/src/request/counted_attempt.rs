//! Counting of the attempts of requests.

use galenastream_runtime::boot_now;
use galenastream_utils::BootInstant;

use super::attempt::Destination;
use crate::process::TrafficState;

/// Reason of an attempt that ended without a reply, at the deadline or because the caller left.
const INTERRUPTED: &str = "interrupted";

/// Counts an attempt when it is dropped.
pub(super) struct CountedAttempt<'a> {
    traffic: &'a TrafficState,
    service: &'a str,
    is_reachable: bool,
    began_at: BootInstant,
    /// The reason of the reply.
    pub(super) reason: &'static str,
}

impl<'a> CountedAttempt<'a> {
    /// Starts an attempt, which counts as interrupted until its reason is set.
    pub(super) fn new(
        traffic: &'a TrafficState,
        service: &'a str,
        destination: &Destination,
    ) -> Self {
        let is_reachable = destination.node.is_reachable;
        Self { traffic, service, is_reachable, began_at: boot_now(), reason: INTERRUPTED }
    }
}

impl Drop for CountedAttempt<'_> {
    fn drop(&mut self) {
        let elapsed = boot_now().saturating_since(self.began_at);
        self.traffic.tally().add_attempt(self.service, self.reason, self.is_reachable, elapsed);
    }
}
