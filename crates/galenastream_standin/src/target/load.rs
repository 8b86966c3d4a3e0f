//! The load that a target reports of itself, some time late.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Samples that are kept at most.
const MAX_SAMPLES: usize = 10_000;

/// What the load endpoint says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct LoadSample {
    pub busy_slots: u32,
    pub queued: u32,
}

/// The load of the last while.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    samples: Mutex<VecDeque<(Instant, LoadSample)>>,
}

impl LoadHistory {
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self { lag: Duration::from_millis(lag_ms), samples: Mutex::new(VecDeque::new()) }
    }

    pub(crate) fn record(&self, sample: LoadSample) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push_back((Instant::now(), sample));
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// The sample that a caller sees now.
    pub(crate) fn reported(&self) -> LoadSample {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let mut reported = LoadSample::default();
        for (taken_at, sample) in samples.iter() {
            if taken_at.elapsed() < self.lag {
                break;
            }
            reported = *sample;
        }
        reported
    }
}
