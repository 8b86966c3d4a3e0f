//! A slice of a cell's hash space.

use crate::{Epoch, KeyHash, Member, SliceId};

/// A slice with its owner. It reaches up to the position before the next slice's first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// The slice.
    pub id: SliceId,
    /// The first position.
    pub first: KeyHash,
    /// The assignment.
    pub epoch: Epoch,
    /// The one member that is entitled to hold the slice.
    pub owner: Option<Member>,
}
