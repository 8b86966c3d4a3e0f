//! The row of a target that leaves.

use prost::Message;

/// The target that the node of a VM has last known to leave. It outlasts the process that acknowledged
/// the leave.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaveRow {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target_id: String,
    /// The Unix time at which the incarnation started, in milliseconds, 0 if the target does not
    /// report it; `None` if the node knew only the id.
    #[prost(uint64, optional, tag = "2")]
    pub born_ms: Option<u64>,
}

impl LeaveRow {
    /// Whether the row names an incarnation of a target.
    pub fn names(&self, target_id: &str, born_ms: u64) -> bool {
        self.target_id == target_id && self.born_ms.is_none_or(|it| it == born_ms)
    }
}
