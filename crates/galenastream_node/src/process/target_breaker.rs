//! The circuit breaker in front of the target, shared by the traffic threads.

use std::sync::{Mutex, MutexGuard, PoisonError};

use galenastream_routing::{Breaker, BreakerLimits, NotRunReason, Outcome, Passage};
use galenastream_settings::EffectiveSettings;

use super::boot_now;
use crate::request::Reply;

/// The circuit breaker in front of the target, shared by the traffic threads.
///
/// A target that freezes would otherwise hold every request until its deadline.
#[derive(Debug)]
pub struct TargetBreaker {
    breaker: Mutex<Breaker>,
}

impl TargetBreaker {
    /// Creates a closed breaker.
    pub fn new(settings: &EffectiveSettings) -> Self {
        Self { breaker: Mutex::new(Breaker::new(limits(settings))) }
    }

    /// Closes the breaker, for a target that came up anew or new settings.
    pub fn reset(&self, settings: &EffectiveSettings) {
        *self.lock() = Breaker::new(limits(settings));
    }

    /// The refusal of a request while the breaker is open.
    pub fn refusal(&self) -> Option<Reply> {
        match self.lock().pass(boot_now()) {
            Passage::Free | Passage::Probe => None,
            Passage::Blocked { retry_after_ms } => {
                let refused = Reply::not_run(NotRunReason::TargetUnavailable);
                Some(refused.with_retry_after_ms(retry_after_ms))
            }
        }
    }

    /// Records what became of a request that passed.
    pub fn record(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ran => self.lock().record_success(),
            Outcome::Unknown(_) => self.lock().record_failure(boot_now()),
            // A target that refuses is alive.
            Outcome::NotRun(_) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn limits(settings: &EffectiveSettings) -> BreakerLimits {
    BreakerLimits {
        failures_in_row: settings.breaker_failures_in_row,
        open_ms: settings.breaker_open_ms,
    }
}
