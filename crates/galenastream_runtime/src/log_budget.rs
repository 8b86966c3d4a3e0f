//! Rate limit for log lines about requests.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use galenastream_utils::BootInstant;

/// Time window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the log lines about requests, so that logging does not add to an overload.
#[derive(Debug, Default)]
pub struct LogBudget {
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    began_at: BootInstant,
    lines: u32,
    dropped: u32,
}

impl LogBudget {
    /// Creates an unused budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a line from the budget. Returns false if `lines_per_s` lines were logged in the
    /// current window. The first call after a window with dropped lines logs how many were dropped.
    pub fn allows(&self, lines_per_s: u32, now: BootInstant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_since(window.began_at) >= WINDOW {
            if window.dropped > 0 {
                log::warn!(event = "request_lines_dropped", lines = window.dropped; "");
            }
            *window = Window { began_at: now, lines: 0, dropped: 0 };
        }
        if window.lines >= lines_per_s {
            window.dropped += 1;
            metrics::counter!("galenastream_log_lines_dropped_total").increment(1);
            return false;
        }
        window.lines += 1;
        true
    }
}
