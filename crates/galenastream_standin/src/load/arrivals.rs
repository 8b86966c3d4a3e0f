//! The intended starts, keys and classes of requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};

use super::{KeyPicker, LoadPlan};

/// A request to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The number of the request, from 0 on.
    pub number: u64,
    /// The intended start, from the start of the run.
    pub at: Duration,
    /// The key, which classes without a key do not use.
    pub key: u64,
    /// The index of the class in the plan.
    pub class: usize,
}

/// An iterator over the requests of a plan, which arrive as a Poisson process. The same seed gives
/// the same requests.
#[derive(Debug)]
pub struct Arrivals {
    rng: StdRng,
    plan: LoadPlan,
    keys: KeyPicker,
    shares_percent: Vec<f64>,
    duration: Duration,
    next_number: u64,
    at: Duration,
}

impl Arrivals {
    /// Creates the requests of a plan. Fails if the plan is invalid.
    pub fn new(plan: &LoadPlan) -> anyhow::Result<Self> {
        plan.check()?;
        Ok(Self {
            rng: StdRng::seed_from_u64(plan.seed),
            plan: plan.clone(),
            keys: KeyPicker::new(plan)?,
            shares_percent: plan.classes.iter().map(|it| it.share_percent).collect(),
            duration: plan.duration,
            next_number: 0,
            at: Duration::ZERO,
        })
    }

    fn pick_class(&mut self) -> usize {
        let mut point = self.rng.random_range(0.0..100.0);
        for (class, share_percent) in self.shares_percent.iter().enumerate() {
            if point < *share_percent {
                return class;
            }
            point -= share_percent;
        }
        self.shares_percent.len() - 1
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let interarrival_s = Exp::new(self.plan.rate_per_s_at(self.at)).ok()?;
        self.at += Duration::from_secs_f64(interarrival_s.sample(&mut self.rng));
        if self.at >= self.duration {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let key = self.keys.pick(self.at, &mut self.rng);
        let class = self.pick_class();
        let has_begun = self.plan.classes[class].from <= self.at;
        Some(Arrival { number, at: self.at, key, class: if has_begun { class } else { 0 } })
    }
}
