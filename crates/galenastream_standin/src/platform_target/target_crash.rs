//! Requests that crash their targets.

use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// The last segment of the path of a request that crashes its target begins with this.
const CRASHING_SEGMENT: &str = "crash";

/// A request whose body begins with this crashes its target too, whatever its path.
pub(super) const CRASHING_BODY: &[u8] = b"crash";

/// How a target crashes under a request that crashes its targets, and starts again.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashPlan {
    /// How long the request runs until the target crashes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
    /// How long after the crash another incarnation starts at the address of the target.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "restart_delay_ms")]
    pub restart_delay: Duration,
}

impl Default for CrashPlan {
    fn default() -> Self {
        Self { run_time: Duration::from_millis(50), restart_delay: Duration::from_secs(1) }
    }
}

/// The end of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// When the target ended.
    pub at: Instant,
    /// The id of the request that crashed the target; `None` if it ended for another reason.
    pub crashed_by: Option<String>,
}

/// Returns whether each request with this path, with or without a query, crashes the target that runs
/// it.
pub fn crashes_targets(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().is_some_and(|it| it.starts_with(CRASHING_SEGMENT))
}
