//! What a health check says of a target.

/// What the answer to a health check says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetHealth {
    /// The target is healthy, and is not leaving.
    Ready,
    /// The target is leaving or failing.
    NotReady,
    /// Nothing, as the target had no room for the check.
    Unknown,
}
