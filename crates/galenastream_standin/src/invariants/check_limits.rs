//! Checks the request limits that targets announce.

use std::time::{Duration, Instant};

use super::Violation;
use crate::{TargetArrival, TargetHistory};

/// How long after the first announcement a limit is binding.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A target may get this many times as many requests as its limit allows, and [`MAX_EXTRA`] more.
const MAX_RATIO: f64 = 1.5;

const MAX_EXTRA: f64 = 5.0;

/// Returns a violation for each limit that was exceeded while it was announced. All requests count,
/// from whichever node they come.
pub(super) fn check_limits(histories: &[TargetHistory]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for history in histories {
        for span in &history.limits {
            let most = most_in_window(&history.arrivals, span.from + STABLE_TIME, span.until);
            let allowed = span.per_s * MAX_RATIO * WINDOW.as_secs_f64() + MAX_EXTRA;
            if most as f64 > allowed {
                let target = history.id.clone();
                violations.push(Violation::LimitExceeded {
                    target,
                    most,
                    allowed: allowed as usize,
                });
            }
        }
    }
    violations
}

/// Returns the most arrivals in a window between two instants.
fn most_in_window(arrivals: &[TargetArrival], from: Instant, until: Instant) -> usize {
    let times = arrivals.iter().map(|it| it.arrived_at);
    let counted: Vec<Instant> = times.filter(|it| (from..until).contains(it)).collect();
    let windows = counted.iter().enumerate().map(|(index, first)| {
        counted[index..].iter().take_while(|it| **it < *first + WINDOW).count()
    });
    windows.max().unwrap_or(0)
}
