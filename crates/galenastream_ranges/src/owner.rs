//! Owners of keys.

use std::{fmt, sync::Arc};

/// One run of a target, from its start to its end. A target that restarts under the same id is
/// another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIncarnation {
    /// The target's id.
    pub id: Arc<str>,
    /// The Unix time in milliseconds at which the target started.
    pub born_ms: u64,
}

/// An incarnation and the node beside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The incarnation.
    pub target: TargetIncarnation,
    /// The name of the node beside the target.
    pub node: Arc<str>,
}

impl TargetIncarnation {
    /// Creates an incarnation from the target's id and its start in Unix milliseconds.
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
    /// Creates an owner from an incarnation and the name of its node.
    pub fn new(target: TargetIncarnation, node: impl Into<Arc<str>>) -> Self {
        Self { target, node: node.into() }
    }
}
