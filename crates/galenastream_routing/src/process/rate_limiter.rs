//! Limit of the rate at which requests start.
//!
//! Load pattern: a target in need takes a fraction of the requests that it got a second before, for
//! a few seconds.

use std::time::Duration;

use galenastream_utils::BootInstant;

use crate::RequestRate;

/// After a pause, the requests of this period may start at once.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// The interval at which a request may start even if the limit is lower. Only the response to a
/// request can show that the limit has ended.
const MIN_INTERVAL: Duration = Duration::from_secs(2);

/// Tolerance of the number of tokens to rounding errors.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// A token bucket: each request that starts takes a token, and tokens arrive at the rate of the
/// limit.
///
/// Each bucket starts empty. A process that restarts, also several times in a row, therefore starts
/// no more requests than one that runs on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateLimiter {
    rate_per_s: f64,
    /// Whether the limit is so low that requests start only to show whether it has ended.
    is_close_to_zero: bool,
    tokens: f64,
    refilled_at: BootInstant,
}

impl RateLimiter {
    pub(crate) fn new(limit: RequestRate, now: BootInstant) -> Self {
        Self {
            rate_per_s: rate_per_s(limit),
            is_close_to_zero: is_close_to_zero(limit),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the limit. Tokens that exceed the burst of the new limit are lost.
    pub(crate) fn set_limit(&mut self, limit: RequestRate, now: BootInstant) {
        self.refill(now);
        self.rate_per_s = rate_per_s(limit);
        self.is_close_to_zero = is_close_to_zero(limit);
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Whether requests start only to show whether the limit has ended.
    pub(crate) const fn is_close_to_zero(&self) -> bool {
        self.is_close_to_zero
    }

    /// Takes a token for a request that starts. Returns `false` if there is none.
    pub(crate) fn take(&mut self, now: BootInstant) -> bool {
        self.refill(now);
        let is_available = self.tokens + TOKEN_TOLERANCE >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the time until `count` tokens are available, which is zero if they are.
    pub(crate) fn time_until(&self, count: usize, now: BootInstant) -> Duration {
        let missing = count as f64 - self.tokens - self.tokens_since_refill(now);
        if missing <= TOKEN_TOLERANCE {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Returns the number of requests that start in a period, on average.
    pub(crate) fn requests_in(&self, period: Duration) -> f64 {
        self.rate_per_s * period.as_secs_f64()
    }

    fn refill(&mut self, now: BootInstant) {
        self.tokens = (self.tokens + self.tokens_since_refill(now)).min(self.max_tokens());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_since_refill(&self, now: BootInstant) -> f64 {
        self.requests_in(now.saturating_since(self.refilled_at))
    }

    fn max_tokens(&self) -> f64 {
        self.requests_in(BURST_PERIOD).max(1.0)
    }
}

fn rate_per_s(limit: RequestRate) -> f64 {
    limit.per_s().max(min_rate_per_s())
}

fn is_close_to_zero(limit: RequestRate) -> bool {
    limit.per_s() < min_rate_per_s()
}

fn min_rate_per_s() -> f64 {
    MIN_INTERVAL.as_secs_f64().recip()
}
