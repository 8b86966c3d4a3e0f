//! Numbers that only rise.

/// Counts the assignments of a slice. Every change of owner raises it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Counts the coordinators of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Term(pub u64);

/// Counts the writes of a table row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// Names one attempt to write a row, so that its author recognizes it when the answer is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// Counts the accepted trees of settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SettingsVersion(pub u64);

/// Counts the requests of one asker, so that a reply finds the time at which its request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Sequence(pub u64);

/// Counts the sets of witnesses of a cell in steps of two.
///
/// An odd number stands between two sets: a change from the one below to the one above is under
/// way, so that either may stand in the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WitnessGeneration(pub u64);

impl WitnessGeneration {
    /// The generation of the set that follows this one.
    pub const fn next(self) -> Self {
        Self(self.set().0 + 2)
    }

    /// Between this set and the next one.
    pub const fn changing(self) -> Self {
        Self(self.set().0 + 1)
    }

    /// Whether a change is under way.
    pub const fn is_changing(self) -> bool {
        self.0 % 2 == 1
    }

    /// The set itself; the lower one while a change is under way.
    pub const fn set(self) -> Self {
        Self(self.0 - self.0 % 2)
    }
}

/// Counts the sets of slices that a coordinator granted during one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct HoldingVersion(pub u64);
