//! The retry budget, shared by the traffic threads.

use std::sync::{Mutex, PoisonError};

use galenastream_routing::{Deadline, RetryBudget, RetryDecision, RetryPolicy, Try};

use super::boot_now;

/// The retry budget, shared by the traffic threads.
#[derive(Debug)]
pub struct RetryDesk {
    budget: Mutex<RetryBudget>,
}

impl RetryDesk {
    /// Creates a budget that allows a retry for a share of the requests.
    pub fn new(share_percent: u32) -> Self {
        Self { budget: Mutex::new(RetryBudget::new(share_percent)) }
    }

    /// Changes the share.
    pub fn set_share_percent(&self, share_percent: u32) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.set_share_percent(share_percent);
    }

    /// Counts a request that arrived.
    pub fn add_request(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).add_request();
    }

    /// Decides whether a request is tried again.
    pub fn decide(&self, policy: &RetryPolicy, deadline: Deadline, tried: Try) -> RetryDecision {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        policy.decide(boot_now(), deadline, tried, &mut budget)
    }
}
