//! The state of one planning step.

use super::LoadedSlice;
use crate::Member;

/// A member with what its slices load it with.
#[derive(Debug, Clone, Copy)]
pub(super) struct MemberLoad {
    pub(super) member: Member,
    /// Slots that count; fewer than the target has while it ramps up.
    pub(super) slots: f64,
    pub(super) accepts: bool,
    /// Whether it came lately and still fills.
    pub(super) is_new: bool,
    pub(super) busy_millislots: f64,
}

impl MemberLoad {
    /// Load per slot.
    pub(super) fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    /// Load per slot if the slice were added, or taken away if it is negative.
    pub(super) fn utilization_with(&self, busy_millislots: f64) -> f64 {
        (self.busy_millislots + busy_millislots) / self.slots
    }
}

/// Members and slices as they will be once the planned changes are done.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) members: Vec<MemberLoad>,
    pub(super) slices: Vec<LoadedSlice>,
}

impl Plan {
    /// Adds up what the slices load their owners with.
    pub(super) fn new(mut members: Vec<MemberLoad>, slices: Vec<LoadedSlice>) -> Self {
        for slice in &slices {
            let owner = members.iter_mut().find(|it| Some(it.member) == slice.owner);
            if let Some(owner) = owner {
                owner.busy_millislots += slice.busy_millislots;
            }
        }
        Self { members, slices }
    }

    /// The load per slot if all members were loaded alike.
    pub(super) fn mean_utilization(&self) -> f64 {
        let busy: f64 = self.slices.iter().map(|it| it.busy_millislots).sum();
        let slots: f64 = self.members.iter().filter(|it| it.accepts).map(|it| it.slots).sum();
        if slots > 0.0 { busy / slots } else { 0.0 }
    }

    /// The load of a member with the mean number of slots, loaded like the mean.
    pub(super) fn mean_member_load(&self) -> f64 {
        let accepting = self.members.iter().filter(|it| it.accepts).count().max(1);
        self.slices.iter().map(|it| it.busy_millislots).sum::<f64>() / accepting as f64
    }

    /// Index of the least loaded member that accepts slices.
    pub(super) fn least_loaded(&self) -> Option<usize> {
        let accepting = self.members.iter().enumerate().filter(|(_, it)| it.accepts);
        let least = accepting.min_by(|(_, a), (_, b)| a.utilization().total_cmp(&b.utilization()));
        least.map(|(index, _)| index)
    }

    /// Gives a slice to another member.
    pub(super) fn reassign(&mut self, slice: usize, to: usize) {
        let slice = &mut self.slices[slice];
        let owner = self.members.iter_mut().find(|it| Some(it.member) == slice.owner);
        if let Some(owner) = owner {
            owner.busy_millislots -= slice.busy_millislots;
        }
        self.members[to].busy_millislots += slice.busy_millislots;
        slice.owner = Some(self.members[to].member);
    }
}
