//! The request of a member for its leases.

use crate::{
    CellId, Epoch, HoldingVersion, Incarnation, Member, PlaceId, Sequence, SettingsVersion,
    SliceId, Term, WitnessGeneration,
};

/// A member asks for its leases, and reports what it has released.
#[derive(Debug, Clone, PartialEq)]
pub struct Beat {
    /// The cell.
    pub cell: CellId,
    /// The sender.
    pub from: Member,
    /// The sender's place.
    pub place: PlaceId,
    /// Orders the beats of the sender.
    pub sequence: Sequence,
    /// The highest term that the sender has seen.
    pub term: Term,
    /// The term and version of the set of slices that the sender knows.
    pub holding: Option<(Term, HoldingVersion)>,
    /// The set of witnesses that the sender knows.
    pub witness_generation: WitnessGeneration,
    /// The last of the sender's beats that was answered; shows replies that get lost.
    pub answered: Sequence,
    /// Slices that the sender has stopped and will never serve again in that epoch.
    pub released: Vec<SliceEpoch>,
    /// Slots of the sender's target; zero while no target has announced itself.
    pub slots: u32,
    /// Whether the sender's target checks grants itself.
    pub checks_grants: bool,
    /// Whether the sender's target is leaving and wants its slices moved away.
    pub draining: bool,
    /// The settings version in force at the sender.
    pub settings: SettingsVersion,
    /// Load of the sender's slices since its last report; empty in most beats.
    pub loads: Vec<SliceLoad>,
}

/// A slice under one assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceEpoch {
    /// The slice.
    pub slice: SliceId,
    /// The assignment.
    pub epoch: Epoch,
}

/// The load of one slice, as its owner's node measured it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Slot time used per second of real time, in thousandths of a slot.
    pub busy_millislots: u32,
    /// Position of the most loaded key of the slice and its share of the load, if one stands out.
    pub hottest: Option<HotKey>,
}

/// A key that carries a large share of its slice's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HotKey {
    /// The position of the key.
    pub hash: crate::KeyHash,
    /// Its share of the slice's load, in hundredths.
    pub share_percent: u8,
}

/// The receiver of a beat does not grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeatRefusal {
    /// The cell.
    pub cell: CellId,
    /// The beat that is answered.
    pub sequence: Sequence,
    /// Why.
    pub reason: BeatRefusalReason,
}

/// Why a beat is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatRefusalReason {
    /// The receiver is not the cell's coordinator. Carries the one that it knows.
    NotCoordinator {
        /// The highest term that the receiver has seen.
        term: Term,
        /// That term's coordinator.
        coordinator: Option<Member>,
    },
    /// A later life of the sender is known.
    OldIncarnation {
        /// The latest known life.
        known: Incarnation,
    },
}
