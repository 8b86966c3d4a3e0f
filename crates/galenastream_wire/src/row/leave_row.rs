//! The row of the targets that leave.

use prost::Message;

/// Number of leaves that a row keeps, the newest ones.
const MAX_LEAVES: usize = 16;

/// The targets that the node of a VM has known to leave. It outlasts the process that acknowledged
/// the leaves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaveRow {
    /// The leaves, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub leaves: Vec<LeaveRecord>,
}

/// The leave of a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaveRecord {
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
        let names = |it: &LeaveRecord| it.born_ms.is_none_or(|it| it == born_ms);
        self.leaves.iter().any(|it| it.target_id == target_id && names(it))
    }

    /// Adds a leave. One that names the incarnation replaces one that knows only its id.
    pub fn add(&mut self, leave: LeaveRecord) {
        let is_replaced = |it: &LeaveRecord| {
            it.target_id == leave.target_id && (it.born_ms.is_none() || it.born_ms == leave.born_ms)
        };
        self.leaves.retain(|it| !is_replaced(it));
        self.leaves.push(leave);
        let surplus = self.leaves.len().saturating_sub(MAX_LEAVES);
        self.leaves.drain(..surplus);
    }
}
