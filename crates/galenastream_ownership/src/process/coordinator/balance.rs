//! Keeps the number of slices a slot even.

use crate::{BootInstant, CellRow, FastMap, KeyHash, LiveMember, Member, SliceEpoch, SliceLoad};

/// A change that the balance wants made.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(dead_code, reason = "the balance by count needs no cuts")]
pub(crate) enum PlannedChange {
    Move { id: SliceEpoch, to: Member },
    Split { id: SliceEpoch, firsts: Vec<KeyHash> },
    Merge { id: SliceEpoch, next: SliceEpoch },
}

/// Keeps the number of slices a slot even, without regard to their load.
#[derive(Debug)]
pub(crate) struct Planner;

#[derive(Debug)]
pub(crate) struct PlannerWeights;

/// Moves of one step.
const MOVES_PER_STEP_MAX: usize = 32;

impl Planner {
    pub(crate) fn new(_weights: PlannerWeights, _now: BootInstant) -> Self {
        Self
    }

    pub(crate) fn record(&mut self, _now: BootInstant, _reports: &[SliceLoad]) {}

    pub(crate) fn plan(
        &mut self,
        _now: BootInstant,
        row: &CellRow,
        members: &[LiveMember],
    ) -> Vec<PlannedChange> {
        let members: Vec<_> = members.iter().filter(|it| it.slots > 0 && !it.draining).collect();
        let slots: u64 = members.iter().map(|it| u64::from(it.slots)).sum();
        if slots == 0 {
            return Vec::new();
        }
        let mut wanted: FastMap<Member, i64> = FastMap::default();
        for it in &members {
            let share = row.slices.len() as u64 * u64::from(it.slots) / slots;
            wanted.insert(it.member, i64::try_from(share).unwrap_or(i64::MAX));
        }
        for slice in &row.slices {
            if let Some(owner) = slice.owner
                && let Some(it) = wanted.get_mut(&owner)
            {
                *it -= 1;
            }
        }
        let mut changes = Vec::new();
        for slice in &row.slices {
            let Some(owner) = slice.owner else { continue };
            let surplus = wanted.get(&owner).copied().unwrap_or(0);
            let to = members.iter().map(|it| it.member).max_by_key(|it| (wanted[it], *it));
            let Some(to) = to.filter(|it| wanted[it] > 0) else { continue };
            if surplus >= 0 || changes.len() >= MOVES_PER_STEP_MAX {
                continue;
            }
            wanted.entry(owner).and_modify(|it| *it += 1);
            wanted.entry(to).and_modify(|it| *it -= 1);
            changes.push(PlannedChange::Move {
                id: SliceEpoch { slice: slice.id, epoch: slice.epoch },
                to,
            });
        }
        changes
    }
}
