//! Limit of the rate at which requests start at a cold target.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::rate_limiter::RateLimiter;
use crate::ColdPeriod;

/// Limits the rate at which requests start until a target is warm.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdLimiter {
    limiter: RateLimiter,
    until: BootInstant,
}

impl ColdLimiter {
    /// Creates the limiter of a target that is cold from `now` on at the latest.
    pub(super) fn new(cold: ColdPeriod, now: BootInstant) -> Self {
        Self { limiter: RateLimiter::new(cold.limit, now), until: cold.until }
    }

    /// Changes the limit and the end.
    pub(super) fn set_period(&mut self, cold: ColdPeriod, now: BootInstant) {
        // Nothing was counted after the end of an earlier period.
        if self.until <= now {
            *self = Self::new(cold, now);
            return;
        }
        self.limiter.set_limit(cold.limit, now);
        self.until = cold.until;
    }

    /// Takes a token for a request that starts.
    pub(super) fn take(&mut self, now: BootInstant) {
        if now < self.until {
            self.limiter.take(now);
        }
    }

    /// Returns the time until `count` requests may start.
    pub(super) fn time_until(&self, count: usize, now: BootInstant) -> Duration {
        self.limiter.time_until(count, now).min(self.until.saturating_since(now))
    }

    /// Returns the number of requests that start in a period, on average, if the target stays cold.
    pub(super) fn requests_in(&self, period: Duration, now: BootInstant) -> f64 {
        match now < self.until {
            true => self.limiter.requests_in(period),
            false => f64::INFINITY,
        }
    }
}
