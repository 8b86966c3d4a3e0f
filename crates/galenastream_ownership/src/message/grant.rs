//! The reply that confers leases.

use crate::{
    CellId, HoldingVersion, KeyHash, Member, Sequence, SettingsVersion, SliceEpoch, Term,
    WitnessSet,
};

/// Confers leases until `lease_ms` after the receiver sent the beat that is answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The cell.
    pub cell: CellId,
    /// The sender's term.
    pub term: Term,
    /// The sender.
    pub from: Member,
    /// The receiver.
    pub to: Member,
    /// The beat that is answered.
    pub sequence: Sequence,
    /// How long the leases last, counted from when the receiver sent the beat.
    pub lease_ms: u32,
    /// The slices that are granted.
    pub set: GrantSet,
    /// The cell's witnesses, which know the coordinator when it is lost.
    ///
    /// `None` if the beat names their generation.
    pub witnesses: Option<WitnessSet>,
    /// The highest settings version that the sender knows.
    pub settings: SettingsVersion,
}

/// The slices that a grant confers.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantSet {
    /// The set that the beat named.
    Unchanged,
    /// A new set. What it lacks is no longer granted.
    Full {
        /// The version of the set.
        version: HoldingVersion,
        /// The slices.
        slices: Vec<GrantedSlice>,
    },
    /// A deputy extends the leases that the receiver still holds, and nothing else.
    Extend,
}

/// A slice that a grant confers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedSlice {
    /// The slice and its assignment.
    pub id: SliceEpoch,
    /// The first position.
    pub first: KeyHash,
    /// The last position.
    pub last: KeyHash,
    /// Whether the receiver shall stop new work, finish what is in progress and release it.
    pub release: bool,
}
