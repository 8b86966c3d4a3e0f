//! What a call orders a target to do.

use std::time::Duration;

use super::CallId;
use crate::KeyRange;

/// What a call orders a target to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOrder {
    /// Hold keys for a time from the arrival of the call.
    Grant {
        /// The keys.
        range: KeyRange,
        /// The fencing token.
        fence: u64,
        /// The handover token of the last holder; empty if there is none.
        handover: String,
        /// The duration of the lease.
        lease: Duration,
    },
    /// Stop new work on keys, and answer when the work in progress has ended.
    Release {
        /// The keys.
        range: KeyRange,
        /// The fencing token under which they were granted.
        fence: u64,
    },
}

/// A call that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// Identifies the call in its outcome.
    pub id: CallId,
    /// What it orders.
    pub order: LeaseOrder,
    /// Whether the target has accepted the same grant before.
    pub is_renewal: bool,
}

impl LeaseOrder {
    /// The keys of the order.
    pub const fn range(&self) -> KeyRange {
        match self {
            Self::Grant { range, .. } | Self::Release { range, .. } => *range,
        }
    }

    /// The word for the order in log lines.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Grant { .. } => "grant",
            Self::Release { .. } => "release",
        }
    }

    /// The duration of the lease that it grants; zero for a release.
    pub const fn lease(&self) -> Duration {
        match self {
            Self::Grant { lease, .. } => *lease,
            Self::Release { .. } => Duration::ZERO,
        }
    }

    /// The fencing token of the order.
    pub const fn fence(&self) -> u64 {
        match self {
            Self::Grant { fence, .. } | Self::Release { fence, .. } => *fence,
        }
    }
}
