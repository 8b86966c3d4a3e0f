//! A caller that writes and reads bytes, so that it sees all that a node sends.

mod caller_answer;
mod caller_connection;

pub use caller_answer::CallerAnswer;
pub use caller_connection::{CallerConnection, request_bytes};
