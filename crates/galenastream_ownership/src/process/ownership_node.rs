//! The control state of one node: leases of its target, and its roles in the cell.

use crate::{Action, BootInstant, CellRow, Event, HeldSlices, Member, NodeConfig, Term};

/// The control state of one node. All roles live in it: holder, coordinator, witness, candidate.
///
/// Feed it every event with the time, carry out the actions, and wake it at `next_wakeup`.
#[derive(Debug)]
pub struct OwnershipNode {
    config: NodeConfig,
    held: HeldSlices,
}

/// What a node knows about its cell, for routing. A hint, never an authority.
#[derive(Debug, Clone, PartialEq)]
pub struct CellView {
    /// The highest term seen.
    pub term: Term,
    /// That term's coordinator, if known.
    pub coordinator: Option<Member>,
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

impl OwnershipNode {
    /// Creates the control state of a node that has just started.
    pub fn new(config: NodeConfig, _now: BootInstant) -> Self {
        Self { config, held: HeldSlices::default() }
    }

    /// Handles an event and appends what is to be done to `actions`.
    pub fn handle(&mut self, _now: BootInstant, _event: Event, _actions: &mut Vec<Action>) {}

    /// When `Event::Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<BootInstant> {
        None
    }

    /// The slices that this node holds.
    pub fn held_slices(&self) -> &HeldSlices {
        &self.held
    }

    /// What this node knows about its cell.
    pub fn cell_view(&self) -> CellView {
        CellView { term: Term(0), coordinator: None, row: None, members: Vec::new() }
    }

    /// What the node was created with.
    pub fn config(&self) -> &NodeConfig {
        &self.config
    }
}
