//! The request limit of the local target, as the planner sees it.

use std::time::Duration;

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::RequestRate;
use galenastream_utils::BootInstant;

/// Time for which a limit has to last before it counts as the capacity of its target. A move of
/// keys costs more than a limit of a few seconds.
const MIN_DURATION: Duration = Duration::from_millis(3_000);

/// The request limit that an incarnation of the local target announces.
#[derive(Debug)]
pub(super) struct LocalLimit {
    pub(super) target: TargetIncarnation,
    pub(super) rate: RequestRate,
    /// Since when the incarnation has announced limits without a break.
    pub(super) since: BootInstant,
}

impl LocalLimit {
    /// Returns the capacity of the target from its measured capacity, both in thousandths of a
    /// request per second. Zero stands for an unknown one.
    pub(super) fn capacity(&self, measured_milli_per_s: u64, now: BootInstant) -> u64 {
        if now.saturating_since(self.since) < MIN_DURATION {
            return measured_milli_per_s;
        }
        let limit = self.rate.milli_per_s().max(1);
        match measured_milli_per_s {
            0 => limit,
            measured => measured.min(limit),
        }
    }
}
