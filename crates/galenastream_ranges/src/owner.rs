//! Who owns keys.

use std::{fmt, sync::Arc};

/// One life of a target. A target that starts again under its old id is another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIncarnation {
    /// The target's id.
    pub id: Arc<str>,
    /// Unix time of its start in milliseconds.
    pub born_ms: u64,
}

/// An incarnation and where it runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The incarnation.
    pub target: TargetIncarnation,
    /// The node beside it.
    pub node: Arc<str>,
}

impl TargetIncarnation {
    /// Creates an incarnation.
    pub fn new(id: impl Into<Arc<str>>, born_ms: u64) -> Self {
        Self { id: id.into(), born_ms }
    }
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born_ms)
    }
}

impl Owner {
    /// Creates an owner.
    pub fn new(target: TargetIncarnation, node: impl Into<Arc<str>>) -> Self {
        Self { target, node: node.into() }
    }
}
