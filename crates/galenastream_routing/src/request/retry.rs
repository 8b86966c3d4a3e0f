//! Whether a request is tried again.

use std::time::Duration;

use galenastream_ownership::BootInstant;

use crate::{Deadline, NotRunReason, Outcome, RetryBudget};

/// How requests of a service are retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The most tries of one request, the first included.
    pub max_tries: u32,
    /// The wait before the first retry; it doubles with each further one.
    pub backoff_ms: u32,
    /// The longest wait before a retry.
    pub max_backoff_ms: u32,
    /// When a caller whose request was given up is told to come back, unless more is known.
    pub retry_after_ms: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_tries: 6, backoff_ms: 2, max_backoff_ms: 20, retry_after_ms: 100 }
    }
}

/// One finished try of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Try {
    /// Counts the tries of the request, from 1.
    pub number: u32,
    /// What became of it.
    pub outcome: Outcome,
    /// Whether running the request twice does what running it once does.
    pub idempotent: bool,
    /// When the refusing side said to come back; zero if it said nothing.
    pub retry_after_ms: u32,
}

/// What to do after a try that did not yield an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a wait.
    Retry {
        /// The wait.
        after: Duration,
    },
    /// Answer the caller now.
    GiveUp {
        /// When the caller shall come back; zero if coming back is of no use.
        retry_after_ms: u32,
    },
}

impl RetryPolicy {
    /// Decides whether a request is tried again. Takes a token from the budget if it is.
    pub fn decide(
        &self,
        now: BootInstant,
        deadline: Deadline,
        tried: Try,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        let give_up = RetryDecision::GiveUp { retry_after_ms: self.retry_after_ms(tried) };
        if !Self::may_run_again(tried) {
            return give_up;
        }
        if tried.number >= self.max_tries {
            return give_up;
        }
        let after = self.backoff(tried);
        // A longer wait would hold a final answer back from the caller.
        if tried.retry_after_ms > self.max_backoff_ms {
            return give_up;
        }
        if deadline.has_passed(now + after) {
            return give_up;
        }
        if !budget.take() {
            return give_up;
        }
        RetryDecision::Retry { after }
    }

    fn may_run_again(tried: Try) -> bool {
        match tried.outcome {
            Outcome::Ran => false,
            Outcome::NotRun(reason) => reason.is_worth_a_retry(),
            Outcome::Unknown(_) => tried.idempotent,
        }
    }

    fn backoff(&self, tried: Try) -> Duration {
        let doublings = tried.number.saturating_sub(1).min(16);
        let backoff_ms = self.backoff_ms.saturating_mul(1 << doublings).min(self.max_backoff_ms);
        // A stale route is replaced by the answer itself, so there is nothing to wait for.
        let is_first_hint =
            tried.number == 1 && tried.outcome == Outcome::NotRun(NotRunReason::NotOwner);
        let backoff_ms = if is_first_hint { 0 } else { backoff_ms };
        Duration::from_millis(u64::from(backoff_ms.max(tried.retry_after_ms)))
    }

    fn retry_after_ms(&self, tried: Try) -> u32 {
        match tried.outcome {
            Outcome::Ran => 0,
            Outcome::NotRun(reason) if !reason.has_retry_after() => 0,
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                if tried.retry_after_ms > 0 {
                    tried.retry_after_ms
                } else {
                    self.retry_after_ms
                }
            }
        }
    }
}
