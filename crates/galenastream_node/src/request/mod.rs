//! Items that live as long as one request: its routing, its attempts and its run at the target.

mod answer;
mod attempt;
#[cfg(test)]
mod attempt_tests;
mod attempts;
mod caller_request;
mod counted_attempt;
mod crash;
mod drain;
mod entry;
mod explanation;
mod fingerprint;
mod long_answer;
mod progress;
#[cfg(test)]
mod progress_tests;
mod refusal;
mod response_proof;
#[cfg(test)]
mod response_proof_tests;
mod target_choice;
mod target_reply;
mod target_run;
mod withdrawal;

pub use entry::{answer_caller, refuse_unread};
pub use explanation::{
    EXPLAIN_PATH, ExplainedAdmission, ExplainedCandidate, ExplainedDestination, ExplainedRoute,
    RequestExplanation, explain_request,
};
pub use target_reply::{TOO_LONG_RETRY_AFTER_MS, not_sent, unknown};
pub use target_run::{TargetRun, run_for_peer};
pub use withdrawal::Withdrawal;
