//! How many retries a service bears, counted over a sliding window.
//!
//! Load pattern: a target fails or sheds for seconds. Every node that retries freely then multiplies
//! the load of the targets that are left.

use std::{collections::VecDeque, time::Duration};

use galenastream_utils::BootInstant;

/// The window is counted in this many steps.
const STEPS_PER_WINDOW: u32 = 20;

/// How many retries a service bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries as a share of requests.
    pub ratio: f64,
    /// Retries in a window besides, of all nodes together.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// The retries of one service at one node. Every node counts its own requests; the shares of all
/// nodes together stay within the terms.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    terms: RetryBudgetLimits,
    steps: VecDeque<Step>,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    began_at: BootInstant,
    requests: u32,
    retries: u32,
}

impl WindowedRetryBudget {
    /// Creates a budget without history.
    pub fn new(terms: RetryBudgetLimits) -> Self {
        Self { terms, steps: VecDeque::new() }
    }

    /// Puts terms in force.
    pub fn set_budget_limits(&mut self, terms: RetryBudgetLimits) {
        self.terms = terms;
    }

    /// Counts a request that is sent for the first time.
    pub fn add_request(&mut self, now: BootInstant) {
        self.step(now).requests += 1;
    }

    /// Takes a retry from the budget, if there is one. `node_count` nodes share the allowance.
    pub fn take(&mut self, now: BootInstant, node_count: usize) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|it| it.requests).sum();
        let retries: u32 = self.steps.iter().map(|it| it.retries).sum();
        let own_allowance = self.terms.allowance / node_count.max(1) as f64;
        let allowed = self.terms.ratio * f64::from(requests) + own_allowance;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// The current step. Drops the steps that have left the window.
    fn step(&mut self, now: BootInstant) -> &mut Step {
        while let Some(first) = self.steps.front() {
            if now.saturating_since(first.began_at) <= self.terms.window {
                break;
            }
            self.steps.pop_front();
        }
        let step_length = self.terms.window / STEPS_PER_WINDOW;
        let is_current =
            self.steps.back().is_some_and(|it| now.saturating_since(it.began_at) < step_length);
        if !is_current {
            self.steps.push_back(Step { began_at: now, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
