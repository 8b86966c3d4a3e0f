//! The target beside this node.

/// The target beside this node, as its beats describe it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Target {
    /// Zero while no target has announced itself.
    pub(crate) slots: u32,
    pub(crate) checks_grants: bool,
    pub(crate) draining: bool,
}
