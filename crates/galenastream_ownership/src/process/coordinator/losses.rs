//! When members count as lost.

use crate::{
    BootInstant, CellRow, Member,
    process::{Context, Members, ms},
};

/// When members count as lost, so that their slices may be reassigned.
#[derive(Debug)]
pub(crate) struct Losses {
    context: Context,
    office: Office,
}

/// What a coordinator knows when it takes office.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Office {
    /// From when on no earlier coordinator or deputy grants.
    pub(crate) since: BootInstant,
    /// Nobody counts as lost and no slice changes owner before.
    pub(crate) quiet_until: BootInstant,
    /// The earlier coordinator, if its own leases have provably run out.
    pub(crate) former: Option<Member>,
}

/// The owners that are lost, and when the next one may be.
#[derive(Debug, Default)]
pub(crate) struct LostOwners {
    /// Those whose wait is over.
    pub(crate) lost: Vec<Member>,
    /// Whether others that are silent too are waited for, so that one write covers all.
    pub(crate) waits_for_others: bool,
    /// When the next wait is over.
    pub(crate) next_at: Option<BootInstant>,
}

impl Losses {
    pub(crate) fn new(context: Context, office: Office) -> Self {
        Self { context, office }
    }

    pub(crate) fn office(&self) -> Office {
        self.office
    }

    /// When an owner counts as lost unless it is heard of again.
    pub(crate) fn lost_at(&self, members: &Members, row: &CellRow, owner: Member) -> BootInstant {
        let record = members.get(owner);
        let checks = row.checks_grants(owner) && record.is_none_or(|it| it.checks_grants);
        let mut base = self.office.since;
        if let Some(record) = record {
            base = base.max(record.granted_at.unwrap_or_default());
            if !record.is_deaf {
                base = base.max(record.heard_at);
            }
        }
        let lease_is_over =
            self.office.former == Some(owner) && record.is_none_or(|it| it.granted_at.is_none());
        let mut lost_at = base;
        if !lease_is_over {
            lost_at = lost_at + self.context.lease_wait();
        }
        if !checks {
            lost_at = lost_at + self.context.order_wait();
        }
        lost_at.max(self.office.quiet_until)
    }

    /// Sorts the owners by whether they are lost.
    pub(crate) fn judge(
        &self,
        now: BootInstant,
        members: &Members,
        row: &CellRow,
        owners: &[Member],
    ) -> LostOwners {
        let mut result = LostOwners::default();
        let mut first_lost_at: Option<BootInstant> = None;
        let mut silent = Vec::new();
        for owner in owners {
            let lost_at = self.lost_at(members, row, *owner);
            if lost_at <= now {
                result.lost.push(*owner);
                first_lost_at = Some(first_lost_at.map_or(lost_at, |it| it.min(lost_at)));
                continue;
            }
            result.next_at = Some(result.next_at.map_or(lost_at, |it| it.min(lost_at)));
            if self.is_silent(now, members, *owner) {
                silent.push(lost_at);
            }
        }
        let batch = ms(self.context.timing.beat_ms);
        let batch_end = first_lost_at.map(|it| it + batch);
        result.waits_for_others =
            silent.into_iter().any(|it| batch_end.is_some_and(|end| it <= end));
        result
    }

    /// Whether an owner has missed several beats.
    fn is_silent(&self, now: BootInstant, members: &Members, owner: Member) -> bool {
        let heard_at = members.get(owner).map_or(self.office.since, |it| it.heard_at);
        now > heard_at + ms(self.context.timing.beat_ms) * 2
    }
}
