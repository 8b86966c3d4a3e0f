//! The properties that must always hold.

use std::fmt;

/// A property that the runs check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Property {
    /// No two members hold a position at once.
    OneHolder,
    /// What is held was committed before, to this holder, under this epoch.
    HeldIsCommitted,
    /// Versions, terms, epochs and generations of the row never fall; its slices cover all.
    RowSound,
    /// What a member has released in an epoch it never holds again in that epoch.
    ReleaseIsFinal,
    /// After the faults every position is served by a live node that is not leaving.
    Recovers,
    /// The highest settings version reaches every node.
    SettingsSpread,
    /// The node makes progress: it does not ask to be woken in the past for ever.
    NoSpin,
}

/// A property that did not hold, with what was seen.
#[derive(Debug, Clone)]
pub struct Violation {
    pub property: Property,
    pub at_ns: u64,
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { property, at_ns, seen } = self;
        write!(f, "{property:?} violated at {:.3} ms: {seen}", *at_ns as f64 / 1e6)
    }
}
