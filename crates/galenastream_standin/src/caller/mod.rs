//! A caller that reads and writes the bytes of HTTP/1.1 itself, so that tests see exactly what a
//! node sends.

mod caller_answer;
mod caller_connection;
mod caller_load;
mod sent_request;

pub use caller_answer::CallerAnswer;
pub use caller_connection::{CallerConnection, request_bytes};
pub use caller_load::CallerLoad;
pub use sent_request::SentRequest;
pub(crate) use sent_request::refusal_reason;
