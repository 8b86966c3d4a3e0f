//! Limits of a client of the platform.

/// Limits of a client of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformLimits {
    /// How long one request may take, waiting for its turn included.
    pub timeout_ms: u64,
    /// How many requests may be in flight at once.
    pub max_in_flight: usize,
    /// The shortest pause after a failed request.
    pub backoff_min_ms: u64,
    /// The longest pause after failed requests.
    pub backoff_max_ms: u64,
    /// The longest answer that is read.
    pub max_answer_bytes: usize,
}

impl PlatformLimits {
    /// Creates limits with another timeout.
    pub fn with_timeout_ms(self, timeout_ms: u64) -> Self {
        Self { timeout_ms, ..self }
    }

    /// Creates limits with another number of requests in flight.
    pub fn with_max_in_flight(self, max_in_flight: usize) -> Self {
        Self { max_in_flight, ..self }
    }

    /// Creates limits with other pauses after failures.
    pub fn with_backoff_ms(self, backoff_min_ms: u64, backoff_max_ms: u64) -> Self {
        Self { backoff_min_ms, backoff_max_ms, ..self }
    }
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            timeout_ms: 500,
            max_in_flight: 8,
            backoff_min_ms: 10,
            backoff_max_ms: 250,
            max_answer_bytes: 8 * 1024 * 1024,
        }
    }
}
