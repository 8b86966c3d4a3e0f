//! A request of a caller and its answer.

use std::time::{Duration, Instant};

use crate::CallerAnswer;

/// A request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// The id of the request.
    pub id: String,
    /// The index of the VM of the caller.
    pub vm: usize,
    /// When the caller began to send the request.
    pub sent_at: Instant,
    /// When the answer was complete, or the connection ended.
    pub answered_at: Instant,
    /// `None` if the connection ended without an answer.
    pub answer: Option<CallerAnswer>,
}

impl SentRequest {
    /// Returns the status of the answer; zero if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |it| it.status)
    }

    /// Returns how long the caller waited.
    pub fn latency(&self) -> Duration {
        self.answered_at - self.sent_at
    }

    /// Returns the reason in the body of an answer that a node gave itself.
    pub fn reason(&self) -> Option<String> {
        refusal_reason(self.answer.as_ref()?.body.as_bytes())
    }
}

/// Returns the reason in the body of an answer that a node gave itself.
pub(crate) fn refusal_reason(body: &[u8]) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(body["reason"].as_str()?.to_owned())
}
