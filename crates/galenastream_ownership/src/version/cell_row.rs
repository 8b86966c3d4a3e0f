//! The row of the table service that holds a cell.

use crate::{
    CellId, FastSet, Incarnation, KeyHash, Member, Slice, SliceId, Term, VmId, WitnessSet,
};

/// The row of a cell. Only the coordinator of its term changes it, by conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellRow {
    /// The cell.
    pub cell: CellId,
    /// The term.
    pub term: Term,
    /// The term's coordinator.
    pub coordinator: Member,
    /// The witnesses.
    pub witnesses: WitnessSet,
    /// Owners whose targets check grants themselves, and the coordinator if its target does.
    ///
    /// A member that is not listed is taken for one whose target does not. Sorted.
    pub grant_checkers: Vec<Member>,
    /// The slices, in the order of their first positions. They cover the whole hash space.
    pub slices: Vec<Slice>,
    /// The id of the next slice that a split creates.
    pub next_slice: SliceId,
}

impl CellRow {
    /// Whether the member's target is known to check grants itself.
    pub fn checks_grants(&self, member: Member) -> bool {
        self.grant_checkers.binary_search(&member).is_ok()
    }

    /// The latest life of a VM that the row names in any part.
    pub fn latest_life(&self, vm: VmId) -> Option<Incarnation> {
        let owners = self.slices.iter().filter_map(|it| it.owner);
        let witnesses = self.witnesses.witnesses.iter().map(|it| it.member);
        let members = owners.chain(witnesses).chain([self.coordinator]);
        members.filter(|it| it.vm == vm).map(|it| it.incarnation).max()
    }

    /// The owners of the assignments that `before` has not, one for each slice.
    pub fn owners_of_changes(&self, before: &Self) -> Vec<Member> {
        let before: FastSet<_> =
            before.slices.iter().map(|it| (it.id, it.epoch, it.owner)).collect();
        let is_new = |it: &&Slice| !before.contains(&(it.id, it.epoch, it.owner));
        self.slices.iter().filter(is_new).filter_map(|it| it.owner).collect()
    }

    /// The slice that a position falls into; `None` only when the row has no slices.
    pub fn slice_at(&self, hash: KeyHash) -> Option<&Slice> {
        let after = self.slices.partition_point(|it| it.first <= hash);
        self.slices.get(after.checked_sub(1)?)
    }

    /// The last position of the slice at `index`.
    pub fn last_position(&self, index: usize) -> KeyHash {
        match self.slices.get(index + 1) {
            Some(next) => KeyHash(next.first.0.saturating_sub(1)),
            None => KeyHash::MAX,
        }
    }
}
