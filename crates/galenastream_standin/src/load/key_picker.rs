//! Which keys are asked for.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use super::LoadPlan;

/// Picks keys by a Zipf distribution whose hottest keys change from time to time.
#[derive(Debug, Clone, Copy)]
pub struct KeyPicker {
    ranks: Zipf<f64>,
    keys: u64,
    hot_keys: u64,
    shift_interval: Duration,
}

impl KeyPicker {
    /// Creates a picker.
    pub fn new(plan: &LoadPlan) -> anyhow::Result<Self> {
        Ok(Self {
            ranks: Zipf::new(plan.keys as f64, plan.zipf_exponent)?,
            keys: plan.keys,
            hot_keys: plan.hot_keys,
            shift_interval: plan.shift_interval,
        })
    }

    /// Picks the key of a request that starts `at` after the start of the run.
    pub fn pick(&self, at: Duration, random: &mut impl Rng) -> u64 {
        let rank = self.ranks.sample(random) as u64 - 1;
        // A shift moves every key down by the number of hot keys, so that the hottest keys become
        // the coldest and others take their places.
        (rank + self.shifts(at) * self.hot_keys) % self.keys
    }

    fn shifts(&self, at: Duration) -> u64 {
        if self.shift_interval.is_zero() {
            return 0;
        }
        (at.as_nanos() / self.shift_interval.as_nanos()) as u64
    }
}
