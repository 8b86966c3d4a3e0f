//! The state that a request carries from one attempt to the next.

use std::sync::OnceLock;

use galenastream_ranges::TargetIncarnation;
use galenastream_wire::ForwardedReply;

use super::{attempt::is_lack_of_capacity, refusal::Refusal};

/// Number of nodes that may refuse a request for lack of capacity before it is given up. Each one
/// was the best of several by the observed loads, so the service has hardly any room. More attempts
/// would take time and bandwidth from requests that can be served.
const MAX_REFUSALS: u32 = 3;

/// `Retry-After` unless the node beside a target asks for a shorter time.
const DEFAULT_RETRY_AFTER_MS: u32 = 200;

/// The attempts of a request so far.
#[derive(Debug)]
pub(super) struct Progress {
    /// Targets that are not chosen again.
    pub(super) tried: Vec<TargetIncarnation>,
    /// Number of attempts that reached a target, or may have.
    pub(super) reached: u32,
    /// Number of attempts that were refused because the target has no capacity.
    refusals: u32,
    pub(super) retry_after_ms: u32,
    /// The last 5xx response of a target, which [`Progress::give_up`] returns.
    pub(super) failure: Option<ForwardedReply>,
    pub(super) may_have_run: bool,
    /// Whether the next attempt is a retry that is not taken from the budget yet.
    pub(super) is_retry_due: bool,
    /// The target to which the request was sent to find out whether its limit has ended. One trial
    /// for each request is enough.
    trial: OnceLock<TargetIncarnation>,
}

impl Progress {
    /// Creates the state of a request before its first attempt.
    pub(super) const fn new() -> Self {
        Self {
            tried: Vec::new(),
            reached: 0,
            refusals: 0,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
            failure: None,
            may_have_run: false,
            is_retry_due: false,
            trial: OnceLock::new(),
        }
    }

    /// Whether the next attempt may be a trial.
    pub(super) fn may_try_limit(&self) -> bool {
        self.trial.get().is_none()
    }

    /// Records that the next attempt is a trial.
    pub(super) fn begin_trial(&self, target: &TargetIncarnation) {
        self.trial.get_or_init(|| target.clone());
    }

    /// Whether the last attempt was a trial. A target that was tried earlier is not chosen again.
    fn is_trial(&self) -> bool {
        self.trial.get().is_some_and(|it| !self.tried.contains(it))
    }

    /// Records an attempt that was not sent to its target. Returns whether another target may be
    /// attempted. The refusal of a trial says nothing about the room of the service.
    pub(super) fn record_not_sent(&mut self, reply: &ForwardedReply) -> bool {
        self.retry_after_ms = self.retry_after_ms.min(reply.retry_after_ms.max(1));
        if self.is_trial() {
            return true;
        }
        self.refusals += u32::from(is_lack_of_capacity(reply.reason));
        self.refusals < MAX_REFUSALS
    }

    /// Whether another of the candidates is attempted if the next one refuses the request.
    pub(super) const fn has_alternatives(&self, candidate_count: usize) -> bool {
        candidate_count > 1 && self.refusals + 1 < MAX_REFUSALS
    }

    /// Returns the final result of a request that is refused because it crashes targets.
    pub(super) fn give_up_quarantined(&mut self) -> Result<ForwardedReply, Refusal> {
        match self.may_have_run {
            true => self.give_up(),
            false => Err(Refusal::Quarantined),
        }
    }

    /// Returns the final result if no further attempt is made.
    pub(super) fn give_up(&mut self) -> Result<ForwardedReply, Refusal> {
        if let Some(failure) = self.failure.take() {
            return Ok(failure);
        }
        match self.may_have_run {
            true => Err(Refusal::Lost),
            false => Err(Refusal::NotRun { retry_after_ms: self.retry_after_ms }),
        }
    }
}
