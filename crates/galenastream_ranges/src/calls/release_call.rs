//! A release that a node has sent.

use galenastream_utils::BootInstant;

use super::CallId;
use crate::KeyRange;

/// A release that a node has sent.
#[derive(Debug, Clone)]
pub(super) struct ReleaseCall {
    pub(super) id: CallId,
    pub(super) range: KeyRange,
    pub(super) fence: u64,
    pub(super) sent_at: BootInstant,
    /// The place of the sending among all sendings and outcomes.
    pub(super) sent_order: u64,
    pub(super) state: ReleaseState,
}

/// What is known of the fate of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReleaseState {
    /// The call is under way: the target still works on the keys, or the call or its answer is late.
    Open,
    /// The target has ended the work on the keys.
    Done {
        /// The token for the next holder; empty if there is none.
        handover: String,
    },
    /// The connection was closed without an answer.
    Unanswered,
}

impl ReleaseCall {
    pub(super) const fn is_open(&self) -> bool {
        matches!(self.state, ReleaseState::Open)
    }

    pub(super) const fn handover(&self) -> Option<&str> {
        match &self.state {
            ReleaseState::Done { handover } => Some(handover.as_str()),
            ReleaseState::Open | ReleaseState::Unanswered => None,
        }
    }
}
