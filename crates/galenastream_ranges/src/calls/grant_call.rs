//! A grant that a node has sent.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::CallId;
use crate::KeyRange;

/// A grant that may have given keys to the target.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantCall {
    pub(super) id: CallId,
    pub(super) range: KeyRange,
    pub(super) fence: u64,
    pub(super) lease: Duration,
    pub(super) sent_at: BootInstant,
    /// The place of the sending among all sendings and outcomes.
    pub(super) sent_order: u64,
    pub(super) state: GrantState,
    /// Whether the target has since denied that it holds a key of the range.
    pub(super) is_denied: bool,
}

/// What is known of the fate of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrantState {
    /// The call is under way.
    Open,
    /// The target has accepted it.
    Accepted {
        /// The latest instant at which the lease can end.
        ends_at: BootInstant,
        /// The place of the answer among all sendings and outcomes.
        order: u64,
    },
    /// The connection was closed without an answer, so the target may carry it out at any time until
    /// `ends_at`, also after it has released the keys.
    Unanswered {
        /// The latest instant at which the lease can end.
        ends_at: BootInstant,
    },
}

impl GrantCall {
    /// The latest instant at which the lease can end; `None` while the call is open.
    pub(super) const fn ends_at(&self) -> Option<BootInstant> {
        match self.state {
            GrantState::Open => None,
            GrantState::Accepted { ends_at, .. } | GrantState::Unanswered { ends_at } => {
                Some(ends_at)
            }
        }
    }

    pub(super) const fn is_open(&self) -> bool {
        matches!(self.state, GrantState::Open)
    }

    pub(super) const fn is_accepted(&self) -> bool {
        matches!(self.state, GrantState::Accepted { .. })
    }

    /// The instant until which the target holds the keys, if it has accepted the grant. Its clock may
    /// run slow, but not fast.
    pub(super) fn held_until(&self) -> BootInstant {
        self.sent_at + self.lease
    }
}
