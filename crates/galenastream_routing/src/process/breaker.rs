//! A circuit breaker.

use std::time::Duration;

use galenastream_ownership::BootInstant;

/// When a breaker opens and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerLimits {
    /// Failures in a row that open the breaker.
    pub failures_in_row: u32,
    /// How long the breaker stays open before it lets one request through as a probe.
    pub open_ms: u32,
}

impl Default for BreakerLimits {
    fn default() -> Self {
        Self { failures_in_row: 8, open_ms: 500 }
    }
}

/// A circuit breaker in front of a target or another node that fails or freezes.
#[derive(Debug, Clone)]
pub struct Breaker {
    limits: BreakerLimits,
    state: BreakerState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    Closed { failures: u32 },
    Open { until: BootInstant },
    Probing { until: BootInstant },
}

/// Whether a request may pass a breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// It may.
    Free,
    /// It may, and its result decides whether the breaker closes.
    Probe,
    /// It may not.
    Blocked {
        /// When the next probe is due.
        retry_after_ms: u32,
    },
}

impl Breaker {
    /// Creates a closed breaker.
    pub const fn new(limits: BreakerLimits) -> Self {
        Self { limits, state: BreakerState::Closed { failures: 0 } }
    }

    /// Decides whether a request may pass.
    pub fn pass(&mut self, now: BootInstant) -> Passage {
        match self.state {
            BreakerState::Closed { .. } => Passage::Free,
            BreakerState::Open { until } | BreakerState::Probing { until } if now < until => {
                let wait_ms = until.saturating_since(now).as_millis() + 1;
                Passage::Blocked { retry_after_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX) }
            }
            // A probe that never reported is followed by another one.
            BreakerState::Open { .. } | BreakerState::Probing { .. } => {
                self.state = BreakerState::Probing { until: self.open_until(now) };
                Passage::Probe
            }
        }
    }

    /// Records that a request that passed succeeded.
    pub fn record_success(&mut self) {
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Records that a request that passed failed or got no reply in time.
    pub fn record_failure(&mut self, now: BootInstant) {
        self.state = match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.limits.failures_in_row => {
                BreakerState::Closed { failures: failures + 1 }
            }
            BreakerState::Closed { .. } | BreakerState::Probing { .. } => {
                BreakerState::Open { until: self.open_until(now) }
            }
            // Requests that passed before the breaker opened do not keep it open for longer.
            open @ BreakerState::Open { .. } => open,
        };
    }

    /// Whether the breaker lets requests pass freely.
    pub const fn is_closed(&self) -> bool {
        matches!(self.state, BreakerState::Closed { .. })
    }

    fn open_until(&self, now: BootInstant) -> BootInstant {
        now + Duration::from_millis(u64::from(self.limits.open_ms))
    }
}
