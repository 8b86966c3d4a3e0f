//! Until when a coordinator may grant.

use crate::{
    BootInstant, Member, PlantedFault, PromiseRole, Term, WitnessGeneration, WitnessSet,
    process::{Context, Outbox, PromiseBook, ms},
};

/// Until when a coordinator may grant: by promises of its witnesses, or by the store alone.
///
/// While the witnesses change, a quorum of each set that a candidate may know is needed.
#[derive(Debug)]
pub(crate) struct Entitlement {
    context: Context,
    /// When the last successful write of the row was sent.
    written_at: Option<BootInstant>,
    /// The set of the committed row.
    committed: WitnessSet,
    /// The set before, until all witnesses that stay have acknowledged the new one.
    previous: Option<WitnessSet>,
    /// A set that is about to be written, or whose write is not settled.
    proposed: Option<WitnessSet>,
    proposed_at: BootInstant,
    /// Whether the proposed set may already stand in the row.
    proposed_is_sent: bool,
    /// Whether a write that starts another term may already stand in the row.
    term_is_leaving: bool,
    promises: PromiseBook,
    /// When promises last entitled this coordinator, or it began to try anew.
    tries_since: BootInstant,
}

/// Promise durations without entitlement after which a coordinator stops asking for as long, so
/// that the witnesses may replace it although some of them can still hear it.
const TRY_PROMISES: u32 = 2;

impl Entitlement {
    pub(crate) fn new(
        context: Context,
        now: BootInstant,
        term: Term,
        witnesses: WitnessSet,
        written_at: Option<BootInstant>,
    ) -> Self {
        Self {
            context,
            written_at,
            committed: witnesses,
            previous: None,
            proposed: None,
            proposed_at: now,
            proposed_is_sent: false,
            term_is_leaving: false,
            promises: PromiseBook::new(context, term, PromiseRole::Coordinator, now),
            tries_since: now,
        }
    }

    pub(crate) fn promises(&mut self) -> &mut PromiseBook {
        &mut self.promises
    }

    pub(crate) fn book(&self) -> &PromiseBook {
        &self.promises
    }

    pub(crate) fn committed(&self) -> &WitnessSet {
        &self.committed
    }

    pub(crate) fn proposed(&self) -> Option<&WitnessSet> {
        self.proposed.as_ref()
    }

    /// Whether the cell runs on the store alone.
    pub(crate) fn is_by_store(&self) -> bool {
        self.committed.witnesses.is_empty() && !self.proposed_is_sent
    }

    /// Whether a change of witnesses is under way.
    pub(crate) fn is_changing(&self) -> bool {
        self.previous.is_some() || self.proposed.is_some()
    }

    /// Until when this coordinator may grant.
    pub(crate) fn until(&self) -> BootInstant {
        if self.term_is_leaving {
            return BootInstant::default();
        }
        if self.is_by_store() {
            return self.store_term_until();
        }
        if self.context.planted(PlantedFault::NoJointWitnesses) {
            return self.promises.quorum_until(&self.committed);
        }
        let sent = self.proposed.as_ref().filter(|_| self.proposed_is_sent);
        let committed = Some(&self.committed).filter(|it| !it.witnesses.is_empty());
        let sets = [committed, self.previous.as_ref(), sent];
        let until = sets.into_iter().flatten().map(|it| self.promises.quorum_until(it)).min();
        let until = until.unwrap_or_default();
        let unbounded = self.context.planted(PlantedFault::FirstWitnessesUnbounded);
        if committed.is_some() || unbounded {
            return until;
        }
        // Until the first set stands in the row, others may take over when the store term is over.
        until.min(self.store_term_until())
    }

    fn store_term_until(&self) -> BootInstant {
        let store_term = ms(self.context.timing.store_term_ms);
        self.written_at.map_or(BootInstant::default(), |it| it + store_term)
    }

    pub(crate) fn is_live(&self, now: BootInstant) -> bool {
        now < self.until() || self.context.planted(PlantedFault::NoEntitlement)
    }

    /// Until when this node's own leases may last. A proposed set counts before it is written, since
    /// work that began under a longer lease would outlast the promises that a successor waits for.
    pub(crate) fn own_until(&self, now: BootInstant) -> BootInstant {
        let proposed = self.proposed.as_ref().map(|it| self.promises.quorum_until(it));
        let until = self.until();
        proposed.filter(|it| now < *it).map_or(until, |it| it.min(until))
    }

    /// Whether the proposed set may be written: it could entitle on its own, also for as long as
    /// this node's own leases last, and all witnesses that stay know of the change.
    pub(crate) fn proposed_is_ready(&self, now: BootInstant, own_leases: BootInstant) -> bool {
        let Some(proposed) = &self.proposed else {
            return false;
        };
        let changing = self.committed.generation.changing();
        let mut staying = staying(&self.committed, proposed);
        let unknowing = self.context.planted(PlantedFault::UnannouncedWitnesses);
        let is_known = unknowing || staying.all(|it| self.promises.has_acknowledged(it, changing));
        let until = self.promises.quorum_until(proposed);
        is_known && now < until && own_leases <= until
    }

    pub(crate) fn propose(&mut self, now: BootInstant, set: WitnessSet) {
        self.proposed = Some(set);
        self.proposed_at = now;
        self.proposed_is_sent = false;
        self.promises.hasten(now);
    }

    /// Gives up a proposed set whose witnesses do not promise.
    pub(crate) fn withdraw_stale(&mut self, now: BootInstant) {
        let limit = ms(self.context.timing.lease_ms);
        if !self.proposed_is_sent && now > self.proposed_at + limit {
            self.proposed = None;
        }
    }

    /// A write of the row was sent.
    pub(crate) fn write_sent(&mut self, with_proposed: bool, starts_term: bool) {
        self.proposed_is_sent = with_proposed;
        self.term_is_leaving = starts_term;
    }

    /// A write of the row took effect.
    pub(crate) fn write_committed(
        &mut self,
        now: BootInstant,
        sent_at: BootInstant,
        set: &WitnessSet,
    ) {
        self.written_at = Some(sent_at);
        if set.generation > self.committed.generation {
            let before = std::mem::replace(&mut self.committed, set.clone());
            self.previous = Some(before).filter(|it| !it.witnesses.is_empty());
            self.promises.hasten(now);
        }
        self.write_ended();
    }

    /// A write of the row is ruled out.
    pub(crate) fn write_ended(&mut self) {
        if self.proposed_is_sent {
            self.proposed = None;
        }
        self.proposed_is_sent = false;
        self.term_is_leaving = false;
    }

    /// Asks the witnesses, and ends a change that all have acknowledged.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        self.end_change();
        let witnesses = self.asked_witnesses();
        if witnesses.is_empty() || self.pauses(now) {
            return;
        }
        self.promises.advance(now, &witnesses, self.asked_generation(), out);
    }

    /// The committed set, or that it is about to change.
    fn asked_generation(&self) -> WitnessGeneration {
        let generation = self.committed.generation;
        let changes = self.proposed.is_some() && !self.committed.witnesses.is_empty();
        let unknowing = self.context.planted(PlantedFault::UnannouncedWitnesses);
        if changes && !unknowing { generation.changing() } else { generation }
    }

    /// Whether the witnesses are left alone, since too few of them promise.
    fn pauses(&mut self, now: BootInstant) -> bool {
        let limit = ms(self.context.timing.promise_ms) * TRY_PROMISES;
        let tried = now.saturating_since(self.tries_since);
        if now < self.until() || tried > limit * 2 {
            self.tries_since = now;
            return false;
        }
        tried > limit
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        let asks = !self.committed.witnesses.is_empty() || self.proposed.is_some();
        asks.then(|| self.promises.next_ask_at())
    }

    fn end_change(&mut self) {
        let Some(previous) = &self.previous else {
            return;
        };
        let generation: WitnessGeneration = self.committed.generation;
        let mut staying = staying(previous, &self.committed);
        let is_known = staying.all(|it| self.promises.has_acknowledged(it, generation));
        drop(staying);
        if is_known {
            self.previous = None;
        }
    }

    fn asked_witnesses(&self) -> Vec<Member> {
        let sets = [Some(&self.committed), self.previous.as_ref(), self.proposed.as_ref()];
        let sets = sets.into_iter().flatten();
        let mut members: Vec<_> =
            sets.flat_map(|it| it.witnesses.iter().map(|it| it.member)).collect();
        members.sort_unstable();
        members.dedup();
        members
    }
}

/// The witnesses that both sets have.
fn staying<'a>(before: &'a WitnessSet, after: &'a WitnessSet) -> impl Iterator<Item = Member> + 'a {
    before.witnesses.iter().map(|it| it.member).filter(|it| after.contains(*it))
}
