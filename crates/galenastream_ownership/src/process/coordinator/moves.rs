//! Which slices of a cell shall move, be split or be merged.

use std::time::Duration;

use crate::{
    BootInstant, CellRow, KeyHash, LiveMember, Member, PlannedChange, Planner, PlannerWeights,
    SliceEpoch, SliceLoad, VmId,
    process::{Handoffs, Members, spread},
};

/// Interval between two looks at the balance of the cell.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Which slices of a cell shall move, be split or be merged.
#[derive(Debug)]
pub(crate) struct Moves {
    planner: Planner,
    handoffs: Handoffs,
    cuts: Vec<PlannedChange>,
    plan_at: BootInstant,
}

impl Moves {
    pub(crate) fn new(now: BootInstant, weights: PlannerWeights, is_new_cell: bool) -> Self {
        let planner = Planner::new(weights, now);
        let planner = if is_new_cell { planner } else { planner.with_unknown_history(now) };
        Self {
            planner,
            handoffs: Handoffs::default(),
            cuts: Vec::new(),
            plan_at: now + PLAN_INTERVAL,
        }
    }

    pub(crate) fn handoffs(&self) -> &Handoffs {
        &self.handoffs
    }

    /// The splits and merges to make with the next write.
    pub(crate) fn cuts(&self) -> &[PlannedChange] {
        &self.cuts
    }

    pub(crate) fn clear_cuts(&mut self) {
        self.cuts.clear();
    }

    /// When the balance is looked at next.
    pub(crate) fn plan_at(&self) -> BootInstant {
        self.plan_at
    }

    pub(crate) fn set_weights(&mut self, now: BootInstant, weights: PlannerWeights) {
        self.planner = Planner::new(weights, now).with_unknown_history(now);
    }

    pub(crate) fn record_loads(&mut self, now: BootInstant, loads: &[SliceLoad]) {
        self.planner.record(now, loads);
    }

    /// Takes what an owner has released. Returns whether something was news.
    pub(crate) fn release(
        &mut self,
        row: &CellRow,
        owner: Member,
        released: &[SliceEpoch],
    ) -> bool {
        let mut is_news = false;
        for id in released {
            if owner_of(row, *id) == Some(owner) {
                is_news |= self.handoffs.release(*id);
            }
        }
        is_news
    }

    /// Forgets what the row has overtaken.
    pub(crate) fn row_changed(&mut self, row: &CellRow) {
        self.handoffs.retain(row);
    }

    /// Plans the move that an operator wants. Returns the owner that has to hear of it.
    pub(crate) fn order(
        &mut self,
        now: BootInstant,
        row: &CellRow,
        members: &Members,
        hash: KeyHash,
        to: VmId,
    ) -> Option<Member> {
        let slice = row.slice_at(hash)?;
        let eligible = members.eligible(now);
        let to = eligible.iter().find(|it| it.member.vm == to)?.member;
        self.plan_move(row, SliceEpoch { slice: slice.id, epoch: slice.epoch }, Some(to))
    }

    /// Plans what is due. Returns the owners that have to hear of it.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        row: &CellRow,
        owners: &[Member],
        members: &Members,
    ) -> Vec<Member> {
        let mut concerned = self.plan_departures(now, row, owners, members);
        if now >= self.plan_at {
            self.plan_at = now + PLAN_INTERVAL;
            let live = members.live(now).into_iter().map(|it| it.to_live_member());
            self.plan_balance(now, row, &live.collect::<Vec<_>>(), &mut concerned);
        }
        concerned.sort_unstable();
        concerned.dedup();
        concerned
    }

    /// Moves the slices of members that are leaving.
    fn plan_departures(
        &mut self,
        now: BootInstant,
        row: &CellRow,
        owners: &[Member],
        members: &Members,
    ) -> Vec<Member> {
        let is_leaving = |it: &Member| members.get(*it).is_some_and(|it| it.draining);
        let leaving: Vec<_> = owners.iter().copied().filter(is_leaving).collect();
        if leaving.is_empty() || members.eligible(now).is_empty() {
            return Vec::new();
        }
        let mut concerned = Vec::new();
        for slice in &row.slices {
            if slice.owner.is_some_and(|it| leaving.contains(&it)) {
                let id = SliceEpoch { slice: slice.id, epoch: slice.epoch };
                concerned.extend(self.plan_move(row, id, None));
            }
        }
        concerned
    }

    fn plan_balance(
        &mut self,
        now: BootInstant,
        row: &CellRow,
        members: &[LiveMember],
        concerned: &mut Vec<Member>,
    ) {
        let mut changes = Vec::new();
        if !self.handoffs.is_busy() {
            changes = spread(row, members);
        }
        if changes.is_empty() {
            changes = self.planner.plan(now, row, members);
        }
        for change in changes {
            match change {
                PlannedChange::Move { id, to } => {
                    concerned.extend(self.plan_move(row, id, Some(to)));
                }
                cut => self.cuts.push(cut),
            }
        }
    }

    fn plan_move(&mut self, row: &CellRow, id: SliceEpoch, to: Option<Member>) -> Option<Member> {
        let owner = owner_of(row, id)?;
        let is_new = to != Some(owner) && self.handoffs.plan(id, to);
        is_new.then_some(owner)
    }
}

fn owner_of(row: &CellRow, id: SliceEpoch) -> Option<Member> {
    row.slices.iter().find(|it| it.id == id.slice && it.epoch == id.epoch)?.owner
}
