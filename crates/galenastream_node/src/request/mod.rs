//! What lives as long as a request.

mod answer;
mod attempt;
mod caller_request;
mod entry;
mod refusal;
mod target_run;

pub use entry::answer_caller;
pub use target_run::run_for_peer;
