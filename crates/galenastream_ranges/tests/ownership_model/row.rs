//! The row of the store.

use std::sync::LazyLock;

use galenastream_ranges::{Assignment, Owner, RangeEntry, TargetIncarnation};

/// The first target, whose leases the model follows.
pub static FIRST: LazyLock<Owner> =
    LazyLock::new(|| Owner::new(TargetIncarnation::new("T", 0), "vm-t"));

/// The other target. It holds the key exactly while the newest row assigns it to that target.
pub static OTHER: LazyLock<Owner> =
    LazyLock::new(|| Owner::new(TargetIncarnation::new("U", 0), "vm-u"));

/// The row with the assignment of the key, at one version.
#[derive(Debug, Clone)]
pub struct Row {
    pub assignment: Assignment,
    pub version: u64,
}

impl Row {
    /// The entry of the key; the model has one.
    pub fn entry(&self) -> &RangeEntry {
        self.assignment.entry_of(0)
    }

    pub fn is_owned_by(&self, owner: &Owner) -> bool {
        self.entry().holding.owner().is_some_and(|it| it == owner)
    }

    pub fn is_left_by(&self, owner: &Owner) -> bool {
        self.entry().holding.leaving_owner().is_some_and(|it| it == owner)
    }
}
