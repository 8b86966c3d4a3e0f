//! The answer that a caller gets.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The answer that a caller gets, whole.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// The value of a header; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// What became of the request: `ran`, `not-run` or `unknown`.
    pub fn outcome(&self) -> &str {
        self.header("galenastream-outcome")
    }

    /// When to come back.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.header("galenastream-retry-after-ms").parse().ok()
    }

    /// The body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}
