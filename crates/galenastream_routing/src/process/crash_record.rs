//! A crash under a request.

use crate::CrashId;

/// A crash under a request, as far as a node knows. Both flags only ever change to true, so copies of
/// different nodes can be joined in any order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// Which target crashed.
    pub id: CrashId,
    /// Whether the request was already suspected when it was sent to that target.
    pub was_suspected: bool,
    /// Whether the crash no longer counts: a target has answered the request since or shortly before,
    /// or an operator has released it.
    pub is_cleared: bool,
}

impl CrashRecord {
    /// Takes over what another copy of the record knows. Returns whether that changes this one.
    pub(super) fn merge(&mut self, other: Self) -> bool {
        let before = *self;
        self.was_suspected |= other.was_suspected;
        self.is_cleared |= other.is_cleared;
        *self != before
    }
}
