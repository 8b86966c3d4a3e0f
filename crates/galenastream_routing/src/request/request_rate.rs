//! A rate of requests.

use std::{fmt, time::Duration};

const MILLI_PER_UNIT: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn new(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// Returns the rate in thousandths of a request per second, as messages carry it.
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI_PER_UNIT
    }

    /// Returns the number of requests in a period.
    pub fn requests_in(self, period: Duration) -> f64 {
        self.per_s() * period.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}
