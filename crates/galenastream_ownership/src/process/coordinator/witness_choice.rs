//! Which members become witnesses.

use std::time::Duration;

use crate::{
    BootInstant, FastSet, Member, PlaceId, WITNESS_COUNT, Witness, WitnessSet,
    process::{Context, MemberRecord, Members, PromiseBook, ms},
};

/// Which members become witnesses, in three places.
#[derive(Debug)]
pub(crate) struct WitnessChoice<'a> {
    pub(crate) context: &'a Context,
    pub(crate) members: &'a Members,
    pub(crate) promises: &'a PromiseBook,
    /// When this coordinator took office.
    pub(crate) office_since: BootInstant,
}

impl WitnessChoice<'_> {
    /// The set that shall follow `current`; `None` if it may stay, or there are too few places.
    pub(crate) fn next(&self, now: BootInstant, current: &WitnessSet) -> Option<WitnessSet> {
        let generation = current.generation.next();
        if !current.is_complete() {
            let witnesses = self.first(now)?;
            return Some(WitnessSet { generation, witnesses });
        }
        // A change needs the other two, so that silent witnesses are replaced first.
        let mut order: Vec<_> = current.witnesses.iter().enumerate().collect();
        order.sort_by_key(|(_, it)| !self.promises.is_silent(now, it.member, Duration::ZERO));
        for (index, witness) in order {
            if !self.is_unfit(now, witness.member) {
                continue;
            }
            let Some(replacement) = self.replacement(now, current, index) else {
                continue;
            };
            let mut witnesses = current.witnesses.clone();
            witnesses[index] = replacement;
            return Some(WitnessSet { generation, witnesses });
        }
        None
    }

    /// Whether a witness is of no more use in this term and nobody can replace it.
    pub(crate) fn needs_new_term(&self, now: BootInstant, current: &WitnessSet) -> bool {
        let members = current.witnesses.iter().map(|it| it.member);
        let mut sealed = members.filter(|it| self.promises.is_sealed(*it));
        sealed.any(|it| self.members.get(it).is_some_and(|it| it.is_live(self.context, now)))
    }

    fn first(&self, now: BootInstant) -> Option<Vec<Witness>> {
        let mut chosen: Vec<Witness> = Vec::new();
        for record in self.by_preference(now) {
            if chosen.iter().all(|it| it.place != record.place) {
                chosen.push(Witness { member: record.member, place: record.place });
            }
            if chosen.len() == WITNESS_COUNT {
                return Some(chosen);
            }
        }
        None
    }

    fn replacement(&self, now: BootInstant, current: &WitnessSet, index: usize) -> Option<Witness> {
        let others = current.witnesses.iter().enumerate().filter(|(it, _)| *it != index);
        let taken: FastSet<PlaceId> = others.map(|(_, it)| it.place).collect();
        let candidates = self.by_preference(now);
        let fit = candidates.into_iter().find(|it| {
            !taken.contains(&it.place)
                && !current.contains(it.member)
                && !self.promises.is_sealed(it.member)
        })?;
        Some(Witness { member: fit.member, place: fit.place })
    }

    /// Live members that stay, those of other places first and this node last.
    fn by_preference(&self, now: BootInstant) -> Vec<&MemberRecord> {
        let mut members = self.members.live(now);
        members.retain(|it| !it.draining);
        members.sort_by_key(|it| {
            let is_me = it.member == self.context.me;
            (is_me, it.place == self.context.place, it.member)
        });
        members
    }

    fn is_unfit(&self, now: BootInstant, witness: Member) -> bool {
        if self.members.is_superseded(witness) || self.promises.is_sealed(witness) {
            return true;
        }
        let record = self.members.get(witness);
        if record.is_some_and(|it| it.draining) {
            return true;
        }
        let grace = ms(self.context.timing.lease_ms);
        let is_live = record.is_some_and(|it| it.is_live(self.context, now));
        !is_live
            && now > self.office_since + grace * 2
            && self.promises.is_silent(now, witness, grace)
    }
}
