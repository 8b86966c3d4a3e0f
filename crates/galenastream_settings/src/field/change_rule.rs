//! When a field may be changed.

use std::fmt;

/// When a field may be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeRule {
    /// At any time. It is in force as soon as a node has the version.
    Live,
    /// Only while all nodes of the service are stopped.
    ///
    /// Nodes that count with different values could give two of them the same key.
    WhileStopped,
}

impl fmt::Display for ChangeRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Live => f.write_str("at any time"),
            Self::WhileStopped => f.write_str("while the service is stopped"),
        }
    }
}
