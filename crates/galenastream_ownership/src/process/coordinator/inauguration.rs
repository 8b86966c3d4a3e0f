//! What a coordinator starts with.

use crate::{
    BootInstant, PlannerWeights, StoredRow,
    process::{Members, Office},
};

/// What a coordinator starts with.
#[derive(Debug)]
pub(crate) struct Inauguration {
    /// The row that names it.
    pub(crate) stored: StoredRow,
    /// When its write was sent, if this node wrote it.
    pub(crate) written_at: Option<BootInstant>,
    pub(crate) office: Office,
    /// Members that beat here before.
    pub(crate) heard: Members,
    pub(crate) weights: PlannerWeights,
}
