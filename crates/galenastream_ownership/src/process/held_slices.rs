//! The slices that a node holds.

use crate::{BootInstant, CellId, KeyHash, SliceEpoch, Term};

/// The slices that a node holds, as its traffic threads see them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldSlices {
    /// The cell; `None` before the first grant.
    pub cell: Option<CellId>,
    /// The term under which the leases were granted.
    pub term: Term,
    /// When all the leases end, on this VM's boot clock.
    pub expires_at: BootInstant,
    /// The slices, in the order of their first positions.
    pub slices: Vec<HeldSlice>,
}

/// A slice that a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlice {
    /// The slice and its assignment.
    pub id: SliceEpoch,
    /// The first position.
    pub first: KeyHash,
    /// The last position.
    pub last: KeyHash,
    /// Whether new work is refused because the slice is about to be released.
    pub stopping: bool,
}

impl HeldSlices {
    /// The slice that a position falls into, if its lease is live and it takes new work.
    pub fn serving(&self, hash: KeyHash, now: BootInstant) -> Option<&HeldSlice> {
        if now >= self.expires_at {
            return None;
        }
        let after = self.slices.partition_point(|it| it.first <= hash);
        let slice = self.slices.get(after.checked_sub(1)?)?;
        (hash <= slice.last && !slice.stopping).then_some(slice)
    }
}
