//! Works out the next row of a cell.

use crate::{
    BootInstant, CellRow, Epoch, FastSet, Member, PlannedChange, Slice, SliceEpoch, SliceId, Term,
    WitnessSet,
    process::{Handoffs, Members, Vacancy, place},
};

/// Works out the next row of a cell from the committed one.
#[derive(Debug)]
pub(crate) struct RowBuilder<'a> {
    pub(crate) now: BootInstant,
    pub(crate) committed: &'a CellRow,
    /// The term and coordinator that the next row names.
    pub(crate) term: Term,
    pub(crate) coordinator: Member,
    pub(crate) members: &'a Members,
    pub(crate) handoffs: &'a Handoffs,
    /// Owners whose slices may be reassigned.
    pub(crate) lost: &'a [Member],
    /// Whether slices may change owner at all.
    pub(crate) may_assign: bool,
    /// Splits and merges to make.
    pub(crate) cuts: &'a [PlannedChange],
    /// Witnesses that are ready to take over.
    pub(crate) witnesses: Option<&'a WitnessSet>,
}

/// The next row, and how many slices it assigns anew.
#[derive(Debug)]
pub(crate) struct NextRow {
    pub(crate) row: CellRow,
    pub(crate) assigned: u32,
}

impl RowBuilder<'_> {
    /// The next row; equal to the committed one if there is nothing to change.
    pub(crate) fn build(&self) -> NextRow {
        let mut row = self.committed.clone();
        row.term = self.term;
        row.coordinator = self.coordinator;
        let mut assigned = 0;
        if self.may_assign {
            let mut eligible = self.members.eligible(self.now);
            eligible.retain(|it| !self.lost.contains(&it.member));
            assigned = place(&mut row, &self.vacancies(), &eligible);
        }
        for cut in self.cuts {
            self.apply_cut(&mut row, cut);
        }
        if let Some(witnesses) = self.witnesses {
            row.witnesses = witnesses.clone();
        }
        row.grant_checkers = self.grant_checkers(&row);
        NextRow { row, assigned }
    }

    fn vacancies(&self) -> Vec<Vacancy> {
        let mut vacancies = Vec::new();
        for (index, slice) in self.committed.slices.iter().enumerate() {
            let id = SliceEpoch { slice: slice.id, epoch: slice.epoch };
            let is_vacant = match slice.owner {
                Some(owner) => self.handoffs.is_released(id) || self.lost.contains(&owner),
                None => true,
            };
            if is_vacant {
                vacancies.push(Vacancy { index, to: self.handoffs.destination(id) });
            }
        }
        vacancies
    }

    /// The owners and the coordinator whose targets are known to check grants.
    fn grant_checkers(&self, row: &CellRow) -> Vec<Member> {
        let mut members: FastSet<_> = row.slices.iter().filter_map(|it| it.owner).collect();
        members.insert(row.coordinator);
        let mut checkers: Vec<_> = members.into_iter().filter(|it| self.checks(*it)).collect();
        checkers.sort_unstable();
        checkers
    }

    fn checks(&self, member: Member) -> bool {
        match self.members.get(member) {
            Some(record) => record.checks_grants,
            None => self.committed.checks_grants(member),
        }
    }

    fn apply_cut(&self, row: &mut CellRow, cut: &PlannedChange) {
        match cut {
            PlannedChange::Move { .. } => {}
            PlannedChange::Split { id, firsts } => {
                if let Some(index) = self.position(row, *id) {
                    split(row, index, firsts);
                }
            }
            PlannedChange::Merge { id, next } => {
                let (Some(index), Some(other)) =
                    (self.position(row, *id), self.position(row, *next))
                else {
                    return;
                };
                if other == index + 1 && row.slices[index].owner == row.slices[other].owner {
                    merge(row, index);
                }
            }
        }
    }

    /// The position of an assignment that is not about to change otherwise.
    fn position(&self, row: &CellRow, id: SliceEpoch) -> Option<usize> {
        if self.handoffs.is_planned(id) || self.handoffs.is_released(id) {
            return None;
        }
        row.slices.iter().position(|it| it.id == id.slice && it.epoch == id.epoch)
    }
}

/// Replaces a slice by new ones of the same owner.
fn split(row: &mut CellRow, index: usize, firsts: &[crate::KeyHash]) {
    let old = row.slices[index];
    let last = row.last_position(index);
    let inside = firsts.iter().filter(|it| **it > old.first && **it <= last);
    let mut firsts: Vec<_> = std::iter::once(old.first).chain(inside.copied()).collect();
    firsts.sort_unstable();
    firsts.dedup();
    if firsts.len() == 1 {
        return;
    }
    let epoch = Epoch(old.epoch.0 + 1);
    let mut parts = Vec::with_capacity(firsts.len());
    for first in firsts {
        parts.push(Slice { id: take_slice_id(row), first, epoch, owner: old.owner });
    }
    row.slices.splice(index..=index, parts);
}

/// Replaces a slice and the next one by a new one of the same owner.
fn merge(row: &mut CellRow, index: usize) {
    let (left, right) = (row.slices[index], row.slices[index + 1]);
    let epoch = Epoch(left.epoch.max(right.epoch).0 + 1);
    let id = take_slice_id(row);
    let merged = Slice { id, first: left.first, epoch, owner: left.owner };
    row.slices.splice(index..=index + 1, [merged]);
}

fn take_slice_id(row: &mut CellRow) -> SliceId {
    let id = row.next_slice;
    row.next_slice = SliceId(id.0 + 1);
    id
}
