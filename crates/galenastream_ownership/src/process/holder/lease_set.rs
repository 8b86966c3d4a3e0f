//! The slices that the node holds, and those that it has released.

use std::time::Duration;

use crate::{
    BootInstant, CellId, Epoch, FastMap, FastSet, GrantedSlice, HeldSlice, HeldSlices,
    HoldingVersion, SliceEpoch, SliceId, Term, process::Tails,
};

/// The slices that the node holds, and those that it has released.
///
/// A slice that was released is never held again in the same epoch.
#[derive(Debug, Default)]
pub(crate) struct LeaseSet {
    held: HeldSlices,
    holding: Option<(Term, HoldingVersion)>,
    /// Slices that shall be released, but may not have been stopped yet.
    to_release: FastSet<SliceEpoch>,
    /// Slices that were given up but not released yet, since earlier work may go on in them.
    stopped: Vec<HeldSlice>,
    tails: Tails,
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

    /// Replaces the set. Work on slices that it lacks may go on for `tail` after their leases.
    pub(crate) fn replace(
        &mut self,
        cell: CellId,
        holding: (Term, HoldingVersion),
        granted: &[GrantedSlice],
        tail: Duration,
    ) {
        let before = std::mem::take(&mut self.held.slices);
        self.released.clear();
        self.to_release.clear();
        for slice in granted {
            if self.is_released(slice.id) {
                if !self.stopped.iter().any(|it| it.id == slice.id) {
                    self.released.push(slice.id);
                }
                continue;
            }
            let stopping = before.iter().any(|it| it.id == slice.id && it.stopping);
            if slice.release && !stopping {
                self.to_release.insert(slice.id);
            }
            let GrantedSlice { id, first, last, .. } = *slice;
            self.held.slices.push(HeldSlice { id, first, last, stopping });
        }
        for slice in before {
            if !granted.iter().any(|it| it.id == slice.id) {
                self.tails.add(slice.first, slice.last, self.held.expires_at + tail);
            }
        }
        self.held.slices.sort_unstable_by_key(|it| it.first);
        self.held.cell = Some(cell);
        self.held.term = holding.0;
        self.holding = Some(holding);
        self.changed = true;
    }

    /// The slices that have to be stopped now, since they shall be released.
    pub(crate) fn take_due_stops(&mut self, now: BootInstant) -> Vec<SliceEpoch> {
        self.tails.expire(now);
        let mut due = Vec::new();
        for slice in &mut self.held.slices {
            let is_wanted = self.to_release.contains(&slice.id) && !slice.stopping;
            if !is_wanted || self.tails.overlap(slice.first, slice.last) {
                continue;
            }
            slice.stopping = true;
            self.changed = true;
            due.push(slice.id);
        }
        due
    }

    /// Gives up a stopping slice for ever, since no work goes on in it.
    pub(crate) fn stopped(&mut self, id: SliceEpoch) {
        let position = self.held.slices.iter().position(|it| it.id == id && it.stopping);
        let Some(position) = position else {
            return;
        };
        self.stopped.push(self.held.slices.remove(position));
        self.released_epochs.insert(id.slice, id.epoch);
        self.changed = true;
    }

    /// Releases the stopped slices in whose ranges no earlier work goes on either. Returns whether
    /// there were any.
    pub(crate) fn release_stopped(&mut self, now: BootInstant) -> bool {
        self.tails.expire(now);
        let (waiting, free): (Vec<_>, Vec<_>) = std::mem::take(&mut self.stopped)
            .into_iter()
            .partition(|it| self.tails.overlap(it.first, it.last));
        self.stopped = waiting;
        self.released.extend(free.iter().map(|it| it.id));
        !free.is_empty()
    }

    /// When something that waits for the end of earlier work may be due.
    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        let waits = !self.stopped.is_empty() || !self.to_release.is_empty();
        self.tails.next_end().filter(|_| waits)
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

    /// Whether something changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn is_released(&self, id: SliceEpoch) -> bool {
        let released = self.released_epochs.get(&id.slice);
        !self.release_is_not_final && released.is_some_and(|it| *it >= id.epoch)
    }
}
