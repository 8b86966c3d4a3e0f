//! Gives members that own nothing their first slices.

use crate::{CellRow, FastMap, LiveMember, Member, PlannedChange, SliceEpoch};

/// The moves that give members without slices a share by their slots.
///
/// The planner balances by load; a new member has none by which to be judged.
pub(crate) fn spread(row: &CellRow, members: &[LiveMember]) -> Vec<PlannedChange> {
    let members: Vec<_> = members.iter().filter(|it| it.slots > 0 && !it.draining).collect();
    let slots: u64 = members.iter().map(|it| u64::from(it.slots)).sum();
    let share = |it: &LiveMember| row.slices.len() as u64 * u64::from(it.slots) / slots.max(1);
    let mut counts: FastMap<Member, u64> = FastMap::default();
    for slice in &row.slices {
        if let Some(owner) = slice.owner {
            *counts.entry(owner).or_default() += 1;
        }
    }
    let mut wanted: Vec<(Member, u64)> = Vec::new();
    for it in &members {
        if !counts.contains_key(&it.member) {
            wanted.push((it.member, share(it)));
        }
    }
    let mut surplus: FastMap<Member, u64> = FastMap::default();
    for it in &members {
        let count = counts.get(&it.member).copied().unwrap_or(0);
        surplus.insert(it.member, count.saturating_sub(share(it)));
    }
    let mut changes = Vec::new();
    for slice in &row.slices {
        let Some((to, left)) = wanted.iter_mut().max_by_key(|it| (it.1, it.0)) else {
            break;
        };
        let spare = slice.owner.and_then(|it| surplus.get_mut(&it));
        let Some(spare) = spare.filter(|it| **it > 0 && *left > 0) else {
            continue;
        };
        *spare -= 1;
        *left -= 1;
        let id = SliceEpoch { slice: slice.id, epoch: slice.epoch };
        changes.push(PlannedChange::Move { id, to: *to });
    }
    changes
}
