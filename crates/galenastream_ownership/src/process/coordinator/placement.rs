//! Gives slices without a holder to members.

use crate::{CellRow, Epoch, FastMap, Member, process::MemberRecord};

/// A slice that nobody may hold any more.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Vacancy {
    /// Its position in the row.
    pub(crate) index: usize,
    /// The member that shall have it.
    pub(crate) to: Option<Member>,
}

/// Gives the vacant slices to members, in proportion to their slots. Returns how many were given.
pub(crate) fn place(row: &mut CellRow, vacancies: &[Vacancy], members: &[&MemberRecord]) -> u32 {
    let mut counts: FastMap<Member, u64> = FastMap::default();
    for slice in &row.slices {
        if let Some(owner) = slice.owner {
            *counts.entry(owner).or_default() += 1;
        }
    }
    let mut placed = 0;
    for vacancy in vacancies {
        let former = row.slices[vacancy.index].owner;
        if let Some(former) = former {
            counts.entry(former).and_modify(|it| *it -= 1);
        }
        let wanted = vacancy.to.and_then(|to| members.iter().find(|it| it.member == to));
        let Some(owner) = wanted.or_else(|| least_loaded(members, &counts)) else {
            continue;
        };
        let slice = &mut row.slices[vacancy.index];
        slice.owner = Some(owner.member);
        slice.epoch = Epoch(slice.epoch.0 + 1);
        *counts.entry(owner.member).or_default() += 1;
        placed += 1;
    }
    placed
}

/// The member with the fewest slices a slot.
fn least_loaded<'a, 'b>(
    members: &'a [&'b MemberRecord],
    counts: &FastMap<Member, u64>,
) -> Option<&'a &'b MemberRecord> {
    members.iter().min_by(|a, b| {
        let count = |it: &MemberRecord| counts.get(&it.member).copied().unwrap_or(0) + 1;
        let left = u128::from(count(a)) * u128::from(b.slots);
        let right = u128::from(count(b)) * u128::from(a.slots);
        left.cmp(&right)
    })
}
