//! Planned handoffs: slices that their owners are asked to release.

use crate::{CellRow, FastMap, FastSet, Member, SliceEpoch};

/// Planned handoffs: slices that their owners are asked to release, and those that they have.
#[derive(Debug, Default)]
pub(crate) struct Handoffs {
    planned: FastMap<SliceEpoch, Option<Member>>,
    released: FastSet<SliceEpoch>,
}

impl Handoffs {
    /// Plans a handoff, to any member if `to` is `None`. Returns whether it is a new one.
    pub(crate) fn plan(&mut self, id: SliceEpoch, to: Option<Member>) -> bool {
        let is_new = !self.planned.contains_key(&id) && !self.released.contains(&id);
        let destination = self.planned.entry(id).or_default();
        *destination = to.or(*destination);
        is_new
    }

    /// Notes that the owner has released a slice. Returns whether that is news.
    pub(crate) fn release(&mut self, id: SliceEpoch) -> bool {
        self.released.insert(id)
    }

    pub(crate) fn is_planned(&self, id: SliceEpoch) -> bool {
        self.planned.contains_key(&id)
    }

    pub(crate) fn is_released(&self, id: SliceEpoch) -> bool {
        self.released.contains(&id)
    }

    /// Where the slice shall go.
    pub(crate) fn destination(&self, id: SliceEpoch) -> Option<Member> {
        self.planned.get(&id).copied().flatten()
    }

    /// Whether a handoff is under way.
    pub(crate) fn is_busy(&self) -> bool {
        !self.planned.is_empty()
    }

    /// Forgets the assignments that the row no longer has.
    pub(crate) fn retain(&mut self, row: &CellRow) {
        if self.planned.is_empty() && self.released.is_empty() {
            return;
        }
        let current: FastSet<_> =
            row.slices.iter().map(|it| SliceEpoch { slice: it.id, epoch: it.epoch }).collect();
        self.planned.retain(|id, _| current.contains(id));
        self.released.retain(|id| current.contains(id));
    }
}
