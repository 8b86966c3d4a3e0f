//! The mean service time of a target.

use std::time::Duration;

/// Weight of a new sample in the moving mean: one in this many.
const SAMPLE_WEIGHT_DIVISOR: u64 = 32;

/// The moving mean of a target's service time, measured by its own node.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ns: u64,
}

impl ServiceTime {
    /// Creates a mean that starts from a first guess.
    pub fn new(first_guess: Duration) -> Self {
        Self { mean_ns: as_ns(first_guess) }
    }

    /// Adds a measured service time.
    pub fn add(&mut self, sample: Duration) {
        let sample_ns = as_ns(sample);
        if self.mean_ns == 0 {
            self.mean_ns = sample_ns;
            return;
        }
        let kept_ns = self.mean_ns - self.mean_ns / SAMPLE_WEIGHT_DIVISOR;
        self.mean_ns = kept_ns + sample_ns / SAMPLE_WEIGHT_DIVISOR;
    }

    /// The mean; zero before the first sample.
    pub const fn mean(&self) -> Duration {
        Duration::from_nanos(self.mean_ns)
    }
}

fn as_ns(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
