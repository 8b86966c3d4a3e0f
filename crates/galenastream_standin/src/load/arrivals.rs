//! When requests start, and what they ask for.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};

use super::{KeyPicker, LoadPlan};

/// A request that is to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Counts the requests of the run.
    pub number: u64,
    /// When it is to start, from the start of the run.
    pub at: Duration,
    /// The key.
    pub key: u64,
    /// The position of the class in the plan.
    pub class: usize,
}

/// The requests of a plan: a Poisson process. The same seed gives the same requests.
#[derive(Debug)]
pub struct Arrivals {
    random: StdRng,
    plan: LoadPlan,
    keys: KeyPicker,
    shares_percent: Vec<f64>,
    duration: Duration,
    next_number: u64,
    at: Duration,
}

impl Arrivals {
    /// Creates the requests of a plan.
    pub fn new(plan: &LoadPlan) -> anyhow::Result<Self> {
        plan.check()?;
        Ok(Self {
            random: StdRng::seed_from_u64(plan.seed),
            plan: plan.clone(),
            keys: KeyPicker::new(plan)?,
            shares_percent: plan.classes.iter().map(|it| it.share_percent).collect(),
            duration: plan.duration,
            next_number: 0,
            at: Duration::ZERO,
        })
    }

    fn pick_class(&mut self) -> usize {
        let mut point = self.random.random_range(0.0..100.0);
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
        let gaps_s = Exp::new(self.plan.rate_per_s_at(self.at)).ok()?;
        self.at += Duration::from_secs_f64(gaps_s.sample(&mut self.random));
        if self.at >= self.duration {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let key = self.keys.pick(self.at, &mut self.random);
        Some(Arrival { number, at: self.at, key, class: self.pick_class() })
    }
}
