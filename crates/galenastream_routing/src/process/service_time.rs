//! Moving estimates of a target's service time and of its deviation.

use std::time::Duration;

/// The initial deviation is the initial mean, divided by this.
const INITIAL_DEVIATION_DIVISOR: u64 = 4;

/// The weight of a new sample in the moving means is 1, divided by this.
const SAMPLE_WEIGHT_DIVISOR: u64 = 32;

/// The number of mean deviations by which the upper estimate exceeds the mean. Requests that make
/// calls of their own have long tails.
const UPPER_DEVIATIONS: u64 = 2;

/// The moving mean of a target's service time and the moving mean of its absolute deviation,
/// measured by the node beside the target.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ns: u64,
    deviation_ns: u64,
}

impl ServiceTime {
    /// Creates an estimate that starts from an assumed service time.
    pub fn new(assumed: Duration) -> Self {
        let mean_ns = as_ns(assumed);
        Self { mean_ns, deviation_ns: mean_ns / INITIAL_DEVIATION_DIVISOR }
    }

    /// Adds a measured service time. The first one replaces a mean of zero.
    pub fn add(&mut self, sample: Duration) {
        let sample_ns = as_ns(sample);
        if self.mean_ns == 0 {
            *self = Self::new(sample);
            return;
        }
        let sample_deviation_ns = sample_ns.abs_diff(self.mean_ns);
        self.deviation_ns = updated_mean(self.deviation_ns, sample_deviation_ns);
        self.mean_ns = updated_mean(self.mean_ns, sample_ns);
    }

    /// Returns the mean; zero without a sample or an assumed service time.
    pub const fn mean(&self) -> Duration {
        Duration::from_nanos(self.mean_ns)
    }

    /// Returns the mean plus two mean deviations, which few requests exceed.
    pub const fn upper_estimate(&self) -> Duration {
        Duration::from_nanos(self.mean_ns + UPPER_DEVIATIONS * self.deviation_ns)
    }
}

/// Returns a moving mean after one more sample.
const fn updated_mean(mean_ns: u64, sample_ns: u64) -> u64 {
    mean_ns - mean_ns / SAMPLE_WEIGHT_DIVISOR + sample_ns / SAMPLE_WEIGHT_DIVISOR
}

fn as_ns(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
