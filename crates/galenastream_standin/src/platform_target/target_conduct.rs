//! What a target does that its protocol allows.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// What a target does that its protocol allows and that makes ownership harder. All of it is off by
/// default.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConduct {
    /// Whether requests go on when their keys are taken away, until their lease ends. The keys are
    /// held until then, and released if the lease has not expired. Expired leases are forgotten.
    pub finishes_requests: bool,
    /// Whether keys are refused under a lower fencing token than one that the target has seen.
    pub checks_fences: bool,
    /// By how much the clock that measures leases runs slow, in percent.
    pub slow_clock_percent: u32,
    /// Whether keys are granted and released by calls. Heartbeats report none then, their replies grant
    /// none, and the answer to a release waits for the requests in progress.
    pub takes_calls: bool,
    /// How many of 100 calls that change leases get no answer and are carried out up to 8 s late.
    pub late_call_percent: u32,
    /// Whether heartbeats state when the target started.
    pub states_start: bool,
    /// How far the time of day is set back with each start of another target of the VM.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "clock_step_back_ms")]
    pub clock_step_back: Duration,
}

impl TargetConduct {
    /// Returns for how long a lease lasts on the clock of the target.
    pub(super) fn lease_duration(&self, granted: Duration) -> Duration {
        granted * (100 + self.slow_clock_percent) / 100
    }
}
