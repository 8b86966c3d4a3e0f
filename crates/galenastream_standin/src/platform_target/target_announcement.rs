//! What a target announces in its responses.

use std::time::Instant;

use http::{HeaderMap, HeaderValue};

/// What a target announces in the headers of its responses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The request limit, as it is written in the header; `None` if there is no such header.
    pub limit: Option<String>,
    /// Whether the target leaves.
    pub is_leaving: bool,
}

/// A request that arrived at a target, also one that the target refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetArrival {
    /// The id of the request.
    pub request_id: String,
    /// The path of the request with its query.
    pub path: String,
    /// The service of the VM where the request entered, from its headers.
    pub caller_service: String,
    /// When the request arrived.
    pub arrived_at: Instant,
}

impl TargetAnnouncement {
    /// Creates the announcement of a request limit per second.
    pub fn limit(per_s: f64) -> Self {
        Self { limit: Some(per_s.to_string()), is_leaving: false }
    }

    /// Returns the limit, if it is a number.
    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.limit.as_ref()?.parse().ok()
    }

    /// Appends the headers of the announcement to those of a response.
    pub(super) fn append_to(&self, headers: &mut HeaderMap) {
        if let Some(limit) = self.limit.as_ref().and_then(|it| HeaderValue::from_str(it).ok()) {
            headers.append("server-limit", limit);
        }
        if self.is_leaving {
            headers.append("server-leaving", HeaderValue::from_static("1"));
        }
    }
}
