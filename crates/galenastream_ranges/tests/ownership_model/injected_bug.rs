//! Bugs that are injected to check that the exploration detects them.

/// A bug that is injected to check that the exploration detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Leases last the longest time, also beyond the validity of the row.
    LeaseBeyondValidity,
    /// The node grants leases on keys that are leaving.
    GrantWhileLeaving,
    /// The node grants leases on a row that was confirmed before its process started.
    GrantOnEarlierConfirmation,
    /// The node takes an instant after the read of a row for its confirmation.
    LateConfirmation,
    /// Planners complete a move without waiting for the leases to end.
    ImpatientPlanner,
    /// A departure continues in a row without one, whatever was written in between.
    DepartureContinuesOverGaps,
    /// The store does not compare versions.
    UnconditionalWrites,
    /// The next owner gets the key under the fencing token of the one before.
    ConstantFences,
    /// The node completes a move before the target has released the key.
    HandoverBeforeRelease,
}
