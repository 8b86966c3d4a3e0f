//! Decides which slices of a cell to move, split and merge.

use std::time::Duration;

use super::{
    ChurnBudget, LoadedSlice, MemberLoad, Plan, PlannedChange, PlannerWeights, SliceLoads,
};
use crate::{
    BootInstant, CellRow, FastMap, FastSet, KeyHash, LiveMember, Member, SliceEpoch, SliceId,
    SliceLoad,
};

/// Decides which slices of a cell to move, split and merge.
///
/// The coordinator feeds it the loads that the owners' nodes measured and asks it for changes
/// every few seconds. The outcome depends on nothing but these.
#[derive(Debug)]
pub struct Planner {
    weights: PlannerWeights,
    loads: SliceLoads,
    budget: ChurnBudget,
    /// Positions whose slices were moved, and when.
    moved: Vec<MovedRange>,
    /// Moves that the row does not show yet.
    pending: FastMap<SliceId, PendingMove>,
    /// When each member's target was first seen; `None`: at the first look.
    first_seen: FastMap<Member, Option<BootInstant>>,
    /// Members that come before this time have warm targets: the cell itself is new.
    forming_until: BootInstant,
    /// Members that were above the trigger and are not yet settled.
    unsettled: FastSet<Member>,
    /// No slice is moved earlier, since the moves of a former coordinator are not known.
    moves_from: BootInstant,
}

#[derive(Debug, Clone, Copy)]
struct MovedRange {
    first: KeyHash,
    last: KeyHash,
    at: BootInstant,
}

#[derive(Debug, Clone, Copy)]
struct PendingMove {
    to: Member,
    at: BootInstant,
}

/// After this time a move that the row does not show counts as given up.
const PENDING_MOVE: Duration = Duration::from_secs(5);

/// A slice with more than this part of a member's mean load is split.
const SPLIT_LOAD_PART: f64 = 0.10;

/// A key with more than this part of a member's mean load gets a slice of its own.
const LONE_KEY_LOAD_PART: f64 = 0.05;

/// Neighbours with less than this part of a member's mean load together are merged.
const MERGE_LOAD_PART: f64 = 0.01;

/// Limits of one step, so that each commit stays small.
const MOVES_PER_STEP_MAX: usize = 16;
const SPLITS_PER_STEP_MAX: usize = 16;
const MERGES_PER_STEP_MAX: usize = 16;

/// How many ramps a new member takes to fill. Until then its moves cost no budget: they must be.
const FILL_RAMPS: u32 = 2;

/// The part of all slots that a cell without requests counts as busy, spread by width.
const BASE_LOAD_PART: f64 = 0.01;

/// The part of its slots that counts when a target has just come.
const COLD_PART: f64 = 0.1;

impl Planner {
    /// Creates the planner of a new cell.
    pub fn new(weights: PlannerWeights, now: BootInstant) -> Self {
        Self {
            weights,
            loads: SliceLoads::default(),
            budget: ChurnBudget::new(
                weights.churn_budget_percent_per_minute,
                weights.churn_burst_percent,
                now,
            ),
            moved: Vec::new(),
            pending: FastMap::default(),
            first_seen: FastMap::default(),
            forming_until: now + Duration::from_millis(weights.ramp_up_ms.into()),
            unsettled: FastSet::default(),
            moves_from: now,
        }
    }

    /// Lets no slice move before the minimum stay is over: for a coordinator that took a cell over.
    pub fn with_unknown_history(self, now: BootInstant) -> Self {
        let stay = Duration::from_millis(self.weights.minimum_stay_ms.into());
        Self { moves_from: now + stay, ..self }
    }

    /// Takes the loads into account that the owner of the slices measured.
    pub fn record(&mut self, now: BootInstant, reports: &[SliceLoad]) {
        for report in reports {
            self.loads.record(now, report, self.weights.smoothing_ms);
        }
    }

    /// The changes to make now. Those of an earlier call that the row shows are taken as done.
    pub fn plan(
        &mut self,
        now: BootInstant,
        row: &CellRow,
        members: &[LiveMember],
    ) -> Vec<PlannedChange> {
        self.budget.refill(now);
        self.forget_old_moves(now);
        let mut slices = self.loads.of_row(now, row);
        self.apply_pending(now, &mut slices);
        add_base_load(&mut slices, members);
        let mut plan = Plan::new(self.member_loads(now, members), slices);
        let mut changes = Vec::new();
        self.plan_splits(&plan, &mut changes);
        if changes.is_empty() {
            self.plan_moves(now, &mut plan, &mut changes);
        }
        if changes.is_empty() {
            self.plan_merges(now, &plan, &mut changes);
        }
        changes
    }

    fn forget_old_moves(&mut self, now: BootInstant) {
        let stay = Duration::from_millis(self.weights.minimum_stay_ms.into());
        self.moved.retain(|it| now < it.at + stay);
    }

    /// Takes the moves under way as done.
    fn apply_pending(&mut self, now: BootInstant, slices: &mut [LoadedSlice]) {
        self.pending.retain(|_, it| now < it.at + PENDING_MOVE);
        for slice in slices {
            let Some(pending) = self.pending.get(&slice.id) else { continue };
            if slice.owner == Some(pending.to) {
                self.pending.remove(&slice.id);
                continue;
            }
            slice.owner = Some(pending.to);
        }
    }

    fn member_loads(&mut self, now: BootInstant, members: &[LiveMember]) -> Vec<MemberLoad> {
        let seen_at = (!self.first_seen.is_empty()).then_some(now);
        let mut loads = Vec::with_capacity(members.len());
        for it in members {
            if it.slots == 0 {
                self.first_seen.remove(&it.member);
                continue;
            }
            let seen_at = *self.first_seen.entry(it.member).or_insert(seen_at);
            loads.push(MemberLoad {
                member: it.member,
                slots: f64::from(it.slots) * self.ramp_part(now, seen_at),
                accepts: !it.draining,
                is_new: self.is_new(now, seen_at),
                busy_millislots: 0.0,
            });
        }
        let live: FastSet<Member> = loads.iter().map(|it| it.member).collect();
        self.first_seen.retain(|it, _| live.contains(it));
        self.unsettled.retain(|it| live.contains(it));
        loads
    }

    fn ramp_part(&self, now: BootInstant, seen_at: Option<BootInstant>) -> f64 {
        let Some(seen_at) = seen_at.filter(|it| *it >= self.forming_until) else { return 1.0 };
        let warm_ms = now.saturating_since(seen_at).as_millis() as f64;
        let part = warm_ms / f64::from(self.weights.ramp_up_ms.max(1));
        part.clamp(COLD_PART, 1.0)
    }

    /// Whether a member has come so lately that it still fills.
    fn is_new(&self, now: BootInstant, seen_at: Option<BootInstant>) -> bool {
        let fill = Duration::from_millis(self.weights.ramp_up_ms.into()) * FILL_RAMPS;
        seen_at.is_some_and(|it| now < it + fill)
    }

    fn plan_splits(&self, plan: &Plan, changes: &mut Vec<PlannedChange>) {
        let mean = plan.mean_member_load();
        let slices_max = 2 * self.weights.slices_per_member as usize * plan.members.len();
        let room = slices_max.saturating_sub(plan.slices.len()) / 2;
        let is_heavy = |it: &&LoadedSlice| it.measured_millislots > SPLIT_LOAD_PART * mean;
        let mut heavy: Vec<&LoadedSlice> = plan.slices.iter().filter(is_heavy).collect();
        heavy.sort_by(|a, b| b.measured_millislots.total_cmp(&a.measured_millislots));
        for slice in heavy {
            if changes.len() >= SPLITS_PER_STEP_MAX.min(room) {
                return;
            }
            if self.pending.contains_key(&slice.id) {
                continue;
            }
            let firsts = cuts(slice, LONE_KEY_LOAD_PART * mean);
            if firsts.is_empty() {
                continue;
            }
            changes.push(PlannedChange::Split { id: id_of(slice), firsts });
        }
    }

    fn plan_moves(&mut self, now: BootInstant, plan: &mut Plan, changes: &mut Vec<PlannedChange>) {
        self.update_unsettled(plan);
        while changes.len() < MOVES_PER_STEP_MAX {
            let Some((slice, to)) = self.best_move(now, plan) else { return };
            let moved = plan.slices[slice];
            plan.reassign(slice, to);
            let to = plan.members[to].member;
            self.pending.insert(moved.id, PendingMove { to, at: now });
            self.moved.push(MovedRange { first: moved.first, last: moved.last, at: now });
            changes.push(PlannedChange::Move { id: id_of(&moved), to });
        }
    }

    /// A member gives slices away from when it passes the trigger until it has settled.
    fn update_unsettled(&mut self, plan: &Plan) {
        let mean = plan.mean_utilization();
        for it in &plan.members {
            let ratio = if mean > 0.0 { it.utilization() / mean } else { 0.0 };
            if ratio > self.weights.trigger_ratio() {
                self.unsettled.insert(it.member);
            } else if ratio < self.weights.settle_ratio() {
                self.unsettled.remove(&it.member);
            }
        }
    }

    /// The move with the most use, from the most loaded member that has one.
    fn best_move(&mut self, now: BootInstant, plan: &Plan) -> Option<(usize, usize)> {
        let to = plan.least_loaded()?;
        let mean = plan.mean_utilization();
        let settled = mean * self.weights.settle_ratio();
        let starved = plan.members[to].utilization() < mean * self.weights.starved_ratio();
        let mut sources: Vec<&MemberLoad> = plan.members.iter().collect();
        sources.sort_by(|a, b| b.utilization().total_cmp(&a.utilization()));
        for source in sources {
            let overloaded =
                self.unsettled.contains(&source.member) && source.utilization() > settled;
            if !overloaded && !starved {
                continue;
            }
            let Some(slice) = self.best_slice(now, plan, source, &plan.members[to]) else {
                continue;
            };
            let is_free = plan.members[to].is_new;
            if !is_free && !self.budget.take(plan.slices[slice].width()) {
                return None;
            }
            return Some((slice, to));
        }
        None
    }

    fn best_slice(
        &self,
        now: BootInstant,
        plan: &Plan,
        from: &MemberLoad,
        to: &MemberLoad,
    ) -> Option<usize> {
        let peak = from.utilization();
        let mean = plan.mean_utilization();
        let unavailable_share = self.weights.unavailable_share();
        let mut best: Option<(usize, f64)> = None;
        for (index, slice) in plan.slices.iter().enumerate() {
            if slice.owner != Some(from.member) || !self.may_move(now, slice, to.is_new) {
                continue;
            }
            let busy = slice.busy_millislots;
            let after = from.utilization_with(-busy).max(to.utilization_with(busy));
            // Below the mean there is nothing to gain for the member with the peak.
            let gain = (peak - after.max(mean)) / mean;
            if gain <= 0.0 {
                continue;
            }
            let interrupted = busy / to.slots / mean;
            let value = gain - unavailable_share * interrupted / 2.0 - slice.width();
            if value > best.map_or(0.0, |it| it.1) {
                best = Some((index, value));
            }
        }
        best.map(|it| it.0)
    }

    /// Whether a slice may move. It may have come lately if it goes to a member that is newer still.
    fn may_move(&self, now: BootInstant, slice: &LoadedSlice, to_new: bool) -> bool {
        let stays = |it: &MovedRange| it.first <= slice.last && slice.first <= it.last;
        now >= self.moves_from
            && !self.pending.contains_key(&slice.id)
            && (to_new || !self.moved.iter().any(stays))
    }

    fn plan_merges(&self, now: BootInstant, plan: &Plan, changes: &mut Vec<PlannedChange>) {
        let wanted = self.weights.slices_per_member as usize * plan.members.len();
        let surplus = plan.slices.len().saturating_sub(wanted);
        let load_max = MERGE_LOAD_PART * plan.mean_member_load();
        let mut index = 0;
        while changes.len() < MERGES_PER_STEP_MAX.min(surplus) && index + 1 < plan.slices.len() {
            let (slice, next) = (&plan.slices[index], &plan.slices[index + 1]);
            let cold = slice.busy_millislots + next.busy_millislots < load_max;
            let narrow = slice.width() + next.width() < 2.0 / wanted as f64;
            let same_owner = slice.owner.is_some() && slice.owner == next.owner;
            let rests = self.may_move(now, slice, false) && self.may_move(now, next, false);
            if !(cold && narrow && same_owner && rests) {
                index += 1;
                continue;
            }
            changes.push(PlannedChange::Merge { id: id_of(slice), next: id_of(next) });
            index += 2;
        }
    }
}

/// Lets slices without requests count a little, so that a cell without load is spread evenly.
fn add_base_load(slices: &mut [LoadedSlice], members: &[LiveMember]) {
    let slots: u32 = members.iter().map(|it| it.slots).sum();
    let base_millislots = f64::from(slots) * 1_000.0 * BASE_LOAD_PART;
    for slice in slices {
        slice.busy_millislots += base_millislots * slice.width();
    }
}

/// Where to cut a slice: around its hot key if there is one, else in the middle.
fn cuts(slice: &LoadedSlice, lone_key_load: f64) -> Vec<KeyHash> {
    if slice.first == slice.last {
        return Vec::new();
    }
    let hot = slice.hottest.filter(|it| {
        let load = slice.measured_millislots * f64::from(it.share_percent) / 100.0;
        load > lone_key_load && slice.first <= it.hash && it.hash <= slice.last
    });
    let Some(hot) = hot else {
        return vec![KeyHash(slice.first.0 + (slice.last.0 - slice.first.0) / 2 + 1)];
    };
    let mut firsts = Vec::new();
    if hot.hash > slice.first {
        firsts.push(hot.hash);
    }
    if hot.hash < slice.last {
        firsts.push(KeyHash(hot.hash.0 + 1));
    }
    firsts
}

fn id_of(slice: &LoadedSlice) -> SliceEpoch {
    SliceEpoch { slice: slice.id, epoch: slice.epoch }
}
