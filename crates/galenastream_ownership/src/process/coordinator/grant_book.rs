//! The slices that are granted to each member.

use crate::{
    Beat, CellRow, FastSet, GrantSet, GrantedSlice, HoldingVersion, Member, PlantedFault,
    SliceEpoch, SliceId,
    process::{Context, GrantedSet, Handoffs},
};

/// Works out the slices that are granted to each member, anew only after something changed.
#[derive(Debug)]
pub(crate) struct GrantBook {
    context: Context,
    revision: u64,
    /// The last version given to a set. No two sets of a term share one, not even sets of a member
    /// that was forgotten in between.
    last_version: HoldingVersion,
    /// Slices whose assignment a pending write changes.
    touched: FastSet<SliceId>,
    /// The row of the pending write.
    pending: Option<CellRow>,
}

impl GrantBook {
    pub(crate) fn new(context: Context) -> Self {
        Self {
            context,
            revision: 0,
            last_version: HoldingVersion(0),
            touched: FastSet::default(),
            pending: None,
        }
    }

    /// Something changed that sets depend on.
    pub(crate) fn invalidate(&mut self) {
        self.revision += 1;
    }

    /// A write was sent. Slices whose assignment it changes are granted to nobody.
    pub(crate) fn write_sent(&mut self, committed: &CellRow, pending: &CellRow) {
        let kept: FastSet<_> =
            pending.slices.iter().map(|it| (it.id, it.epoch, it.owner)).collect();
        let present: FastSet<_> = pending.slices.iter().map(|it| it.id).collect();
        self.touched.clear();
        for slice in &committed.slices {
            // A slice that was split or merged keeps its owner.
            let changes = !kept.contains(&(slice.id, slice.epoch, slice.owner));
            if changes && present.contains(&slice.id) {
                self.touched.insert(slice.id);
            }
        }
        if self.context.planted(PlantedFault::GrantBeforeCommit) {
            self.pending = Some(pending.clone());
        }
        self.invalidate();
    }

    /// The pending write is settled.
    pub(crate) fn write_ended(&mut self) {
        self.touched.clear();
        self.pending = None;
        self.invalidate();
    }

    /// The set for a member's beat, which names the set that it knows.
    pub(crate) fn grant(
        &mut self,
        set: &mut GrantedSet,
        beat: &Beat,
        row: &CellRow,
        handoffs: &Handoffs,
    ) -> GrantSet {
        if set.revision != Some(self.revision) {
            let slices = self.granted_slices(beat.from, row, handoffs);
            if set.revision.is_none() || slices != set.slices {
                self.last_version = HoldingVersion(self.last_version.0 + 1);
                set.version = self.last_version;
                set.slices = slices;
            }
            set.revision = Some(self.revision);
        }
        if beat.holding == Some((row.term, set.version)) {
            return GrantSet::Unchanged;
        }
        GrantSet::Full { version: set.version, slices: set.slices.clone() }
    }

    fn granted_slices(
        &self,
        member: Member,
        row: &CellRow,
        handoffs: &Handoffs,
    ) -> Vec<GrantedSlice> {
        let row = self.pending.as_ref().unwrap_or(row);
        let mut granted = Vec::new();
        for (index, slice) in row.slices.iter().enumerate() {
            if !slice.owner.is_some_and(|it| self.is_same(it, member)) {
                continue;
            }
            let id = SliceEpoch { slice: slice.id, epoch: slice.epoch };
            let is_touched = self.pending.is_none() && self.touched.contains(&slice.id);
            if is_touched || handoffs.is_released(id) {
                continue;
            }
            granted.push(GrantedSlice {
                id,
                first: slice.first,
                last: row.last_position(index),
                release: handoffs.is_planned(id),
            });
        }
        granted
    }

    fn is_same(&self, owner: Member, member: Member) -> bool {
        let by_vm = self.context.planted(PlantedFault::NoIncarnationCheck);
        owner == member || (by_vm && owner.vm == member.vm)
    }
}
