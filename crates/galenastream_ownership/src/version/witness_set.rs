//! The witnesses of a cell.

use crate::{Member, PlaceId, WitnessGeneration};

/// How many witnesses a cell has.
pub const WITNESS_COUNT: usize = 3;

/// How many promises entitle a coordinator, and how many seals replace it.
pub const WITNESS_QUORUM: usize = 2;

/// A witness and its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Witness {
    /// The witness.
    pub member: Member,
    /// Its place.
    pub place: PlaceId,
}

/// The witnesses of a cell: three in three places, or none while the cell runs on the store alone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WitnessSet {
    /// Counts the sets.
    pub generation: WitnessGeneration,
    /// The witnesses.
    pub witnesses: Vec<Witness>,
}

impl WitnessSet {
    /// Whether the set can entitle a coordinator.
    pub fn is_complete(&self) -> bool {
        self.witnesses.len() == WITNESS_COUNT
    }

    /// Whether the member is one of the witnesses.
    pub fn contains(&self, member: Member) -> bool {
        self.witnesses.iter().any(|it| it.member == member)
    }
}
