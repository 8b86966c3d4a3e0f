//! The circuit breaker in front of the target, shared by the traffic threads.

use std::sync::{Mutex, MutexGuard, PoisonError};

use galenastream_ownership::BootInstant;
use galenastream_routing::{Breaker, BreakerLimits, NotRunReason, Outcome, Passage, UnknownReason};
use galenastream_settings::EffectiveSettings;

use super::boot_now;
use crate::request::Reply;

/// The circuit breaker in front of the target, shared by the traffic threads.
///
/// A target that freezes would otherwise hold every request until its deadline.
#[derive(Debug)]
pub struct TargetBreaker {
    state: Mutex<BreakerState>,
}

#[derive(Debug)]
struct BreakerState {
    breaker: Breaker,
    answered_at: BootInstant,
}

impl TargetBreaker {
    /// Creates a closed breaker.
    pub fn new(settings: &EffectiveSettings) -> Self {
        let breaker = Breaker::new(limits(settings));
        Self { state: Mutex::new(BreakerState { breaker, answered_at: BootInstant::default() }) }
    }

    /// Closes the breaker, for a target that came up anew or new settings.
    pub fn reset(&self, settings: &EffectiveSettings) {
        self.lock().breaker = Breaker::new(limits(settings));
    }

    /// The refusal of a request while the breaker is open.
    pub fn refusal(&self) -> Option<Reply> {
        match self.lock().breaker.pass(boot_now()) {
            Passage::Free | Passage::Probe => None,
            Passage::Blocked { retry_after_ms } => {
                let refused = Reply::not_run(NotRunReason::TargetUnavailable);
                Some(refused.with_retry_after_ms(retry_after_ms))
            }
        }
    }

    /// Records what became of a request that passed at `began_at`.
    pub fn record(&self, outcome: Outcome, began_at: BootInstant) {
        let now = boot_now();
        let mut state = self.lock();
        match outcome {
            Outcome::Ran => {
                state.answered_at = now;
                state.breaker.record_success();
            }
            // A target that answers other requests meanwhile is slow with this one, not frozen.
            Outcome::Unknown(UnknownReason::DeadlinePassed) if state.answered_at > began_at => {}
            Outcome::Unknown(_) => state.breaker.record_failure(now),
            // A target that refuses is alive.
            Outcome::NotRun(_) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, BreakerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn limits(settings: &EffectiveSettings) -> BreakerLimits {
    BreakerLimits {
        failures_in_row: settings.breaker_failures_in_row,
        open_ms: settings.breaker_open_ms,
    }
}
