//! Doubt about the config in force.
//!
//! Load pattern: operators add routes while some nodes are cut off from the store, start, or read an
//! older copy of the config, and callers use the new routes at once, at every node.

/// Why the config in force may be older than the newest one. Meanwhile a request that it does not
/// allow is asked to come back: callers do not repeat a request after 404, 413 or 431.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigDoubt {
    /// The process has just started and has not heard from all other nodes yet.
    Starting,
    /// Another node has a newer config.
    NewerAnnounced,
    /// The store has a newer config that this node cannot decode.
    NewerUnreadable,
    /// The store has no config any more.
    Removed,
    /// Neither this node nor another one has lately learnt from the store that no config is newer.
    StoreUnreachable,
}

impl ConfigDoubt {
    /// The word in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NewerAnnounced => "newer-announced",
            Self::NewerUnreadable => "newer-unreadable",
            Self::Removed => "removed",
            Self::StoreUnreachable => "store-unreachable",
        }
    }
}
