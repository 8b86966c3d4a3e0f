//! Leases whose keys are not known.

use serde::Serialize;

use super::LogTime;

/// Renewals of leases whose grant is not in the log, as when the log starts in the middle. The target
/// may have held the key.
#[derive(Debug, Serialize)]
pub(crate) struct UnknownGrants {
    pub(crate) node: String,
    pub(crate) target: String,
    pub(crate) first_at: LogTime,
    pub(crate) renewed_at: LogTime,
    pub(crate) lease_ends_at: LogTime,
    pub(crate) renewals: u64,
    /// When a grant in the log named the keys of the target.
    pub(crate) known_from: Option<LogTime>,
}
