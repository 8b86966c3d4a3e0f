//! What a connection to the target has already answered.
//!
//! Load pattern: a target in trouble writes a response once more, late, in place of the next one on its
//! connection. A response names its request, but a request that was refused is sent again under the
//! same id.

use galenastream_adapter::header_names;
use galenastream_utils::FastSet;
use http::{HeaderMap, StatusCode};

/// Number of refused requests after which a connection is not used again.
const MAX_REFUSED: usize = 64;

/// What a connection to the target has already answered.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    has_answered: bool,
    /// The ids of the requests that were refused.
    refused: FastSet<Box<[u8]>>,
}

impl AnsweredRequests {
    /// Records the response to a request.
    pub(super) fn record(&mut self, request_id: &[u8], status: StatusCode, headers: &HeaderMap) {
        self.has_answered = true;
        let is_refusal = headers.contains_key(header_names::NOT_RUN)
            || status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            self.refused.insert(request_id.into());
        }
    }

    /// Whether any response was read on the connection.
    pub(super) const fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether the response to a request could be taken for a copy of an earlier one: it was refused on
    /// this connection before.
    pub(super) fn is_ambiguous(&self, request_id: &[u8]) -> bool {
        self.refused.contains(request_id)
    }

    /// Whether the connection may be used again.
    pub(super) fn is_reusable(&self) -> bool {
        self.refused.len() < MAX_REFUSED
    }
}
