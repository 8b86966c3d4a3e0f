//! What a node must know to take part.

use crate::{CellId, Member, PlaceId, Timing};

/// What a node must know to take part in a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeConfig {
    /// This node.
    pub member: Member,
    /// Its place.
    pub place: PlaceId,
    /// The cell that its target belongs to.
    pub cell: CellId,
    /// Whether the cell's service is divided by key. If not, the cell has members but no slices.
    pub divided_by_key: bool,
    /// How many slices a new cell starts with.
    pub initial_slices: u32,
    /// The durations of the protocol.
    pub timing: Timing,
    /// Seeds all random choices.
    pub seed: u64,
}
