//! The end of the drain period of a target that leaves.

use std::time::Duration;

use galenastream_utils::BootInstant;

use crate::process::TrafficState;

/// Time before the end of a leaving target's drain period, `PlatformBounds::drain_ms`, at which
/// nodes stop sending requests to it.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// Whether no more than the margin is left of the drain period of a target that has been leaving
/// since an instant.
pub(super) fn is_drain_over(
    traffic: &TrafficState,
    leaving_since: BootInstant,
    now: BootInstant,
) -> bool {
    let drain_time = Duration::from_millis(traffic.context.settings.load().bounds.drain_ms);
    now >= leaving_since + drain_time.saturating_sub(DRAIN_MARGIN)
}
