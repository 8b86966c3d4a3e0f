//! The choice of keys.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use super::LoadPlan;

/// Picks keys by a Zipf distribution whose hottest keys shift at a fixed interval.
#[derive(Debug, Clone, Copy)]
pub struct KeyPicker {
    rank_distribution: Zipf<f64>,
    keys: u64,
    hot_keys: u64,
    shift_interval: Duration,
}

impl KeyPicker {
    /// Creates a picker for the keys of a plan. Fails if the Zipf distribution is invalid.
    pub fn new(plan: &LoadPlan) -> anyhow::Result<Self> {
        Ok(Self {
            rank_distribution: Zipf::new(plan.keys as f64, plan.zipf_exponent)?,
            keys: plan.keys,
            hot_keys: plan.hot_keys,
            shift_interval: plan.shift_interval,
        })
    }

    /// Picks the key of a request that starts `at` after the start of the run.
    pub fn pick(&self, at: Duration, rng: &mut impl Rng) -> u64 {
        let rank = self.rank_distribution.sample(rng) as u64 - 1;
        // Each shift offsets all keys by the number of hot keys, so that the hottest keys become
        // the coldest and other keys become the hottest.
        (rank + self.shift_count(at) * self.hot_keys) % self.keys
    }

    fn shift_count(&self, at: Duration) -> u64 {
        if self.shift_interval.is_zero() {
            return 0;
        }
        (at.as_nanos() / self.shift_interval.as_nanos()) as u64
    }
}
