//! The service time of a target: its mean and how far samples lie from it.

use std::time::Duration;

/// The deviation that goes with a first guess: one in this many of it.
const GUESSED_DEVIATION_DIVISOR: u64 = 4;

/// Weight of a new sample in the moving means: one in this many.
const SAMPLE_WEIGHT_DIVISOR: u64 = 32;

/// The moving mean of a target's service time and of its deviation, measured by its own node.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ns: u64,
    deviation_ns: u64,
}

impl ServiceTime {
    /// Creates a mean that starts from a first guess.
    pub fn new(first_guess: Duration) -> Self {
        let mean_ns = as_ns(first_guess);
        Self { mean_ns, deviation_ns: mean_ns / GUESSED_DEVIATION_DIVISOR }
    }

    /// Adds a measured service time.
    pub fn add(&mut self, sample: Duration) {
        let sample_ns = as_ns(sample);
        if self.mean_ns == 0 {
            *self = Self::new(sample);
            return;
        }
        let distance_ns = sample_ns.abs_diff(self.mean_ns);
        self.deviation_ns = moved_towards(self.deviation_ns, distance_ns);
        self.mean_ns = moved_towards(self.mean_ns, sample_ns);
    }

    /// The mean; zero before the first sample.
    pub const fn mean(&self) -> Duration {
        Duration::from_nanos(self.mean_ns)
    }

    /// What most requests take no longer than: the mean and one mean deviation more.
    pub const fn upper(&self) -> Duration {
        Duration::from_nanos(self.mean_ns + self.deviation_ns)
    }
}

const fn moved_towards(mean_ns: u64, sample_ns: u64) -> u64 {
    mean_ns - mean_ns / SAMPLE_WEIGHT_DIVISOR + sample_ns / SAMPLE_WEIGHT_DIVISOR
}

fn as_ns(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
