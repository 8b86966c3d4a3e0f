//! Items that live as long as one request: its routing, its attempts and its run at the target.

mod answer;
mod attempt;
mod caller_request;
mod counted_attempt;
mod drain;
mod entry;
mod progress;
#[cfg(test)]
mod progress_tests;
mod refusal;
mod target_choice;
mod target_reply;
mod target_run;

pub use entry::answer_caller;
pub use target_reply::{TOO_LONG_RETRY_AFTER_MS, not_sent, unknown};
pub use target_run::run_for_peer;
