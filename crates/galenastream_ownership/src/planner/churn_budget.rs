//! A limit on how much of the hash space changes owner.

use crate::BootInstant;

/// Share of the hash space that may still be moved. Refills with time, up to a burst.
#[derive(Debug)]
pub(super) struct ChurnBudget {
    share_per_minute: f64,
    share_max: f64,
    share: f64,
    refilled_at: BootInstant,
}

impl ChurnBudget {
    /// Creates a full budget.
    pub(super) fn new(percent_per_minute: u32, burst_percent: u32, now: BootInstant) -> Self {
        let share_max = f64::from(burst_percent) / 100.0;
        let share_per_minute = f64::from(percent_per_minute) / 100.0;
        Self { share_per_minute, share_max, share: share_max, refilled_at: now }
    }

    /// Adds what has accrued.
    pub(super) fn refill(&mut self, now: BootInstant) {
        let minutes = now.saturating_since(self.refilled_at).as_secs_f64() / 60.0;
        self.share = (self.share + minutes * self.share_per_minute).min(self.share_max);
        self.refilled_at = now;
    }

    /// Takes a share, if there is enough.
    pub(super) fn take(&mut self, share: f64) -> bool {
        let enough = share <= self.share;
        if enough {
            self.share -= share;
        }
        enough
    }
}
