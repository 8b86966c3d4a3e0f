//! The row that ends a coordinator's term without a loss.

use crate::{BootInstant, CellRow, Member, Term, process::Members};

/// The row that ends a coordinator's term without a loss.
///
/// From when its write is sent, this node grants nothing in the old term.
#[derive(Debug)]
pub(crate) struct Succession<'a> {
    pub(crate) now: BootInstant,
    pub(crate) me: Member,
    pub(crate) committed: &'a CellRow,
    pub(crate) members: &'a Members,
}

impl Succession<'_> {
    /// Hands the cell over to another member, one with a target if there is one.
    pub(crate) fn handover(&self) -> Option<CellRow> {
        let mut successors = self.members.live(self.now);
        successors.retain(|it| !it.draining && it.member != self.me);
        successors.sort_by_key(|it| (it.slots == 0, it.member));
        let successor = successors.first()?.member;
        Some(self.next_term(successor))
    }

    /// Begins a new term of this node, in which witnesses that have sealed may promise again.
    pub(crate) fn renewal(&self) -> CellRow {
        self.next_term(self.me)
    }

    fn next_term(&self, coordinator: Member) -> CellRow {
        let mut row = self.committed.clone();
        row.term = Term(row.term.0 + 1);
        row.coordinator = coordinator;
        row
    }
}
