//! The share of requests that may be retried.

/// Thousandths of a token that one retry costs.
const RETRY_COST_MILLITOKENS: u64 = 1_000;

/// The most retries that a quiet time saves up.
const MAX_SAVED_RETRIES: u64 = 100;

/// The share of requests that may be retried, so that retries cannot multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_percent: u32,
    millitokens: u64,
}

impl RetryBudget {
    /// Creates a budget that allows a retry for `share_percent` of the requests.
    pub const fn new(share_percent: u32) -> Self {
        Self { share_percent, millitokens: MAX_SAVED_RETRIES * RETRY_COST_MILLITOKENS }
    }

    /// Counts a request that arrived.
    pub fn add_request(&mut self) {
        let earned = u64::from(self.share_percent) * RETRY_COST_MILLITOKENS / 100;
        let limit = MAX_SAVED_RETRIES * RETRY_COST_MILLITOKENS;
        self.millitokens = (self.millitokens + earned).min(limit);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.millitokens.checked_sub(RETRY_COST_MILLITOKENS) else {
            return false;
        };
        self.millitokens = left;
        true
    }

    /// Changes the share, when a new settings version comes into force.
    pub fn set_share_percent(&mut self, share_percent: u32) {
        self.share_percent = share_percent;
    }
}
