//! What a node knows about its cell, for routing.

use crate::{CellRow, Member, Term};

/// What a node knows about its cell, for routing. A hint, never an authority.
#[derive(Debug, Clone, PartialEq)]
pub struct CellView {
    /// The highest term seen.
    pub term: Term,
    /// That term's coordinator, if known.
    pub coordinator: Option<Member>,
    /// The witnesses, as the last grant or row named them.
    pub witnesses: Vec<Member>,
    /// The last committed row that this node wrote or read.
    pub row: Option<CellRow>,
    /// The live members with their slots; only at the coordinator.
    pub members: Vec<LiveMember>,
}

/// A member that the coordinator has heard of within a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveMember {
    /// The member.
    pub member: Member,
    /// Slots of its target; zero while no target has announced itself.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
}
