//! The slices that the node holds, and those that it has released.

use crate::{
    BootInstant, CellId, Epoch, FastMap, GrantedSlice, HeldSlice, HeldSlices, HoldingVersion,
    SliceEpoch, SliceId, Term,
};

/// The slices that the node holds, and those that it has released.
///
/// A slice that was released is never held again in the same epoch.
#[derive(Debug, Default)]
pub(crate) struct LeaseSet {
    held: HeldSlices,
    holding: Option<(Term, HoldingVersion)>,
    released: Vec<SliceEpoch>,
    released_epochs: FastMap<SliceId, Epoch>,
    release_is_not_final: bool,
    changed: bool,
}

impl LeaseSet {
    pub(crate) fn new(release_is_not_final: bool) -> Self {
        Self { release_is_not_final, ..Self::default() }
    }

    pub(crate) fn held(&self) -> &HeldSlices {
        &self.held
    }

    /// The term and version of the set that the node knows.
    pub(crate) fn holding(&self) -> Option<(Term, HoldingVersion)> {
        self.holding
    }

    /// The slices that the coordinator has yet to be told of.
    pub(crate) fn released(&self) -> &[SliceEpoch] {
        &self.released
    }

    /// Whether a lease is live.
    pub(crate) fn is_live(&self, now: BootInstant) -> bool {
        now < self.held.expires_at
    }

    /// Replaces the set. Returns the slices that have to be stopped now.
    pub(crate) fn replace(
        &mut self,
        cell: CellId,
        holding: (Term, HoldingVersion),
        granted: &[GrantedSlice],
    ) -> Vec<SliceEpoch> {
        let stopping: Vec<_> = self.stopping().collect();
        let mut to_stop = Vec::new();
        self.released.clear();
        self.held.slices.clear();
        for slice in granted {
            if self.is_released(slice.id) {
                self.released.push(slice.id);
                continue;
            }
            let was_stopping = stopping.contains(&slice.id);
            if slice.release && !was_stopping {
                to_stop.push(slice.id);
            }
            self.held.slices.push(HeldSlice {
                id: slice.id,
                first: slice.first,
                last: slice.last,
                stopping: slice.release || was_stopping,
            });
        }
        self.held.slices.sort_unstable_by_key(|it| it.first);
        self.held.cell = Some(cell);
        self.held.term = holding.0;
        self.holding = Some(holding);
        self.changed = true;
        to_stop
    }

    /// Lets all leases end at `expires_at`.
    pub(crate) fn renew(&mut self, expires_at: BootInstant) {
        self.changed |= self.held.expires_at != expires_at;
        self.held.expires_at = expires_at;
    }

    /// Lets no lease end later than `limit`.
    pub(crate) fn shorten(&mut self, limit: BootInstant) {
        self.renew(self.held.expires_at.min(limit));
    }

    /// Marks every slice as stopping. Returns those that were not yet.
    pub(crate) fn stop_all(&mut self) -> Vec<SliceEpoch> {
        let mut stopped = Vec::new();
        for slice in &mut self.held.slices {
            if slice.stopping {
                continue;
            }
            slice.stopping = true;
            stopped.push(slice.id);
        }
        self.changed |= !stopped.is_empty();
        stopped
    }

    /// Gives up a stopping slice for ever. Returns whether it was held.
    pub(crate) fn release(&mut self, id: SliceEpoch) -> bool {
        let position = self.held.slices.iter().position(|it| it.id == id && it.stopping);
        let Some(position) = position else {
            return false;
        };
        self.held.slices.remove(position);
        self.released_epochs.insert(id.slice, id.epoch);
        self.released.push(id);
        self.changed = true;
        true
    }

    /// Whether something changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn stopping(&self) -> impl Iterator<Item = SliceEpoch> {
        self.held.slices.iter().filter(|it| it.stopping).map(|it| it.id)
    }

    fn is_released(&self, id: SliceEpoch) -> bool {
        let released = self.released_epochs.get(&id.slice);
        !self.release_is_not_final && released.is_some_and(|it| *it >= id.epoch)
    }
}
