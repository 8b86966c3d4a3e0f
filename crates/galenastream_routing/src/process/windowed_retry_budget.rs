//! A retry budget for a service, counted over a sliding window.
//!
//! Load pattern: a target fails or sheds requests for seconds. Unlimited retries by every node
//! would then multiply the load of the remaining targets.

use std::{collections::VecDeque, time::Duration};

use galenastream_utils::BootInstant;

/// The number of buckets in which a window is counted.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request, as a fraction.
    pub ratio: f64,
    /// Retries per window in addition to the ratio, for all nodes together.
    pub allowance: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The retry budget of one service at one node. A node counts its own requests only and uses an
/// equal share of the allowance, so all nodes together stay within the limits.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    limits: RetryBudgetLimits,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    began_at: BootInstant,
    requests: u32,
    retries: u32,
}

impl WindowedRetryBudget {
    /// Creates a budget without earlier requests.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Replaces the limits and keeps the counts.
    pub fn set_budget_limits(&mut self, limits: RetryBudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request that is sent for the first time. [`Self::take`] counts the retries.
    pub fn add_request(&mut self, now: BootInstant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry from the budget. Returns `false` if the budget is exhausted. `node_count`
    /// nodes share the allowance.
    pub fn take(&mut self, now: BootInstant, node_count: usize) -> bool {
        let is_available = self.is_available(now, node_count);
        if is_available {
            self.current_bucket(now).retries += 1;
        }
        is_available
    }

    /// Returns whether [`Self::take`] would succeed.
    pub fn is_available(&mut self, now: BootInstant, node_count: usize) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|it| it.requests).sum();
        let retries: u32 = self.buckets.iter().map(|it| it.retries).sum();
        let own_allowance = self.limits.allowance / node_count.max(1) as f64;
        let allowed = self.limits.ratio * f64::from(requests) + own_allowance;
        f64::from(retries + 1) <= allowed
    }

    /// Drops the buckets that have left the window, and returns the current one.
    fn current_bucket(&mut self, now: BootInstant) -> &mut Bucket {
        while let Some(first) = self.buckets.front() {
            if now.saturating_since(first.began_at) <= self.limits.window {
                break;
            }
            self.buckets.pop_front();
        }
        let bucket_length = self.limits.window / BUCKETS_PER_WINDOW;
        let is_current =
            self.buckets.back().is_some_and(|it| now.saturating_since(it.began_at) < bucket_length);
        if !is_current {
            self.buckets.push_back(Bucket { began_at: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
