//! Lines about the owner of a key.

use serde::Serialize;

use super::{Evidence, LeaseCallKind, LogTime};

/// Decision about the key or observation of it, by a node.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    pub(crate) time: LogTime,
    pub(crate) node: String,
    #[serde(flatten)]
    pub(crate) kind: ChangeKind,
}

/// What a node decided or saw.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ChangeKind {
    KeysLeave {
        target: String,
        to: String,
        reason: String,
        based_on: u64,
        written: Option<RowWrite>,
    },
    MoveCancelled {
        target: String,
        based_on: u64,
        written: Option<RowWrite>,
    },
    HoldEnded {
        target: String,
        evidence: Evidence,
        evidence_age_ms: u64,
        reported_by: Option<String>,
        based_on: u64,
        written: Option<RowWrite>,
    },
    KeysAssigned {
        target: String,
        /// The node beside the new owner.
        owner_node: String,
        fence: u64,
        based_on: u64,
        written: Option<RowWrite>,
    },
    /// Consecutive heartbeats that got no lease while the last reply granted the key.
    LeaseWithheld {
        reason: String,
        count: u64,
        last_at: LogTime,
    },
    /// A call to a target, other than an accepted renewal.
    LeaseCall {
        kind: LeaseCallKind,
        target: String,
        fence: u64,
        /// The duration of the lease that a grant orders.
        lease_ms: Option<u64>,
        outcome: String,
        /// The time from the decision to the outcome.
        elapsed_ms: u64,
    },
    ForeignHold {
        target: String,
        fence: u64,
        holder: String,
        row_version: u64,
    },
}

/// Successful write of the row.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct RowWrite {
    pub(crate) row_version: u64,
    pub(crate) at: LogTime,
}

impl ChangeKind {
    /// Returns the version of the row that a planned change is based on.
    pub(crate) fn based_on(&self) -> Option<u64> {
        match self {
            Self::KeysLeave { based_on, .. }
            | Self::MoveCancelled { based_on, .. }
            | Self::HoldEnded { based_on, .. }
            | Self::KeysAssigned { based_on, .. } => Some(*based_on),
            Self::LeaseWithheld { .. } | Self::LeaseCall { .. } | Self::ForeignHold { .. } => None,
        }
    }

    /// Returns the write that the change took effect with.
    pub(crate) fn written(&self) -> Option<RowWrite> {
        match self {
            Self::KeysLeave { written, .. }
            | Self::MoveCancelled { written, .. }
            | Self::HoldEnded { written, .. }
            | Self::KeysAssigned { written, .. } => *written,
            Self::LeaseWithheld { .. } | Self::LeaseCall { .. } | Self::ForeignHold { .. } => None,
        }
    }

    /// Records that a write on the basis of a row succeeded.
    pub(crate) fn set_written(&mut self, wanted: u64, write: RowWrite) {
        match self {
            Self::KeysLeave { based_on, written, .. }
            | Self::MoveCancelled { based_on, written, .. }
            | Self::HoldEnded { based_on, written, .. }
            | Self::KeysAssigned { based_on, written, .. } => {
                if *based_on == wanted && written.is_none() {
                    *written = Some(write);
                }
            }
            Self::LeaseWithheld { .. } | Self::LeaseCall { .. } | Self::ForeignHold { .. } => {}
        }
    }
}

/// Removes cancelled moves of targets that the key was not leaving. Their lines name no keys.
pub(super) fn retain_relevant_cancels(changes: &mut Vec<Change>) {
    let mut leaving: Option<String> = None;
    changes.retain(|change| match &change.kind {
        ChangeKind::KeysLeave { target, .. } => {
            leaving = Some(target.clone());
            true
        }
        ChangeKind::MoveCancelled { target, .. } => leaving.as_ref() == Some(target),
        ChangeKind::HoldEnded { .. }
        | ChangeKind::KeysAssigned { .. }
        | ChangeKind::LeaseWithheld { .. }
        | ChangeKind::LeaseCall { .. }
        | ChangeKind::ForeignHold { .. } => true,
    });
}
