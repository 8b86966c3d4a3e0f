//! A witness that takes over when the coordinator is lost.

use std::time::Duration;

use crate::{
    Beat, BootInstant, OwnershipEvent, Promise, SealReply, SettingsVersion, StoredRow, Term,
    process::{Context, Deputy, Knowledge, Outbox, Promiser, RowReader, SealRound, ms},
};

/// How much later each further witness becomes a candidate.
const RANK_PAUSE: Duration = Duration::from_millis(25);

/// Random part of the pause before a witness becomes a candidate.
const JITTER: Duration = Duration::from_millis(8);

/// How long a witness that sealed for another candidate leaves it alone.
const YIELD_PAUSE: Duration = Duration::from_millis(300);

/// How long a candidate waits for the store before it becomes deputy.
const DEPUTY_PAUSE: Duration = Duration::from_millis(20);

/// A witness that takes over when the coordinator is lost.
#[derive(Debug)]
pub(crate) struct Candidacy {
    context: Context,
    round: Option<SealRound>,
    deputy: Option<Deputy>,
    /// The last term in which this node was deputy.
    deputy_term: Option<Term>,
    jitter: Option<Duration>,
    wakeup: Option<BootInstant>,
}

impl Candidacy {
    pub(crate) fn new(context: Context) -> Self {
        Self { context, round: None, deputy: None, deputy_term: None, jitter: None, wakeup: None }
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        self.wakeup
    }

    /// Ends the candidacy, since the term has a coordinator or is over.
    pub(crate) fn end(&mut self, out: &mut Outbox) {
        if self.deputy.take().is_some() {
            self.log_deputy(false, out);
        }
        self.round = None;
        self.jitter = None;
        self.wakeup = None;
    }

    /// Starts, goes on with, or ends a candidacy.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        knowledge: &Knowledge,
        witness: &Promiser,
        reader: &mut RowReader,
        out: &mut Outbox,
    ) {
        let Some(rank) = self.rank(knowledge) else {
            return self.end(out);
        };
        if self.is_outdated(now, knowledge, witness) {
            self.end(out);
        }
        if self.round.is_none() {
            let due_at = self.due_at(knowledge, witness, rank, out);
            self.wakeup = Some(due_at);
            if now < due_at {
                return;
            }
            let set = knowledge.witnesses.clone();
            self.round = Some(SealRound::new(self.context, now, knowledge.term, set));
            reader.want(now);
        }
        self.continue_round(now, reader, out);
    }

    /// The position among the witnesses that may replace the coordinator.
    fn rank(&self, knowledge: &Knowledge) -> Option<u32> {
        let set = &knowledge.witnesses;
        if !set.is_complete() || knowledge.witnesses_term != knowledge.term {
            return None;
        }
        let others = set.witnesses.iter().filter(|it| Some(it.member) != knowledge.coordinator);
        let position = others.map(|it| it.member).position(|it| it == self.context.me)?;
        u32::try_from(position).ok()
    }

    fn is_outdated(&self, now: BootInstant, knowledge: &Knowledge, witness: &Promiser) -> bool {
        let Some(round) = &self.round else {
            return false;
        };
        let is_promising = witness.promised_until().is_some_and(|it| now < it);
        let is_unneeded = is_promising && !round.has_own_seal() && self.deputy.is_none();
        is_unneeded || !round.is_about(knowledge.term, &knowledge.witnesses)
    }

    fn due_at(
        &mut self,
        knowledge: &Knowledge,
        witness: &Promiser,
        rank: u32,
        out: &mut Outbox,
    ) -> BootInstant {
        let jitter = *self.jitter.get_or_insert_with(|| out.jitter(JITTER));
        let promise = self.context.stretched(ms(self.context.timing.promise_ms));
        let learned_at = knowledge.term_since.max(knowledge.witnesses_since);
        let mut base = learned_at + promise;
        base = base.max(witness.promised_until().unwrap_or_default());
        if let Some(sealed_at) = witness.sealed_at(knowledge.term) {
            base = base.max(sealed_at + YIELD_PAUSE);
        }
        base + RANK_PAUSE * rank + jitter
    }

    fn continue_round(&mut self, now: BootInstant, reader: &mut RowReader, out: &mut Outbox) {
        let Some(round) = &mut self.round else {
            return;
        };
        round.advance(now, out);
        let mut wakeup = round.next_ask_at();
        if let Some(sealed_at) = round.sealed_at() {
            if round.stored.is_none() && !reader.is_wanted() {
                reader.want(now);
            }
            let deputy_at = sealed_at + DEPUTY_PAUSE;
            if round.may_deputize() && self.deputy.is_none() && now >= deputy_at {
                let set = round.witnesses().clone();
                self.deputy = Some(Deputy::new(self.context, now, round.term(), set));
                self.deputy_term = Some(round.term());
                self.log_deputy(true, out);
            }
            wakeup = Some(deputy_at).filter(|it| now < *it);
        }
        if let Some(deputy) = &mut self.deputy {
            deputy.advance(now, out);
            wakeup = Some(deputy.next_wakeup());
        }
        self.wakeup = wakeup;
    }

    /// Takes a row that was read.
    pub(crate) fn handle_row(&mut self, stored: &StoredRow) {
        let Some(round) = &mut self.round else {
            return;
        };
        if round.is_about(stored.row.term, &stored.row.witnesses) {
            round.stored = Some(stored.clone());
        }
    }

    /// The row that this node may replace, and since when its coordinator grants no more.
    ///
    /// The row is handed out once; after a conflict it is read again.
    pub(crate) fn take_sealed_row(&mut self) -> Option<(StoredRow, Option<BootInstant>)> {
        let round = self.round.as_mut()?;
        let sealed_at = round.sealed_at()?;
        let stored = round.stored.take()?;
        let since = if self.deputy.is_none() { Some(sealed_at) } else { None };
        Some((stored, since))
    }

    /// Whether this node has extended leases in a term, even if it has ended its candidacy since.
    pub(crate) fn was_deputy(&self, term: Term) -> bool {
        self.deputy_term == Some(term)
    }

    /// Takes a witness's answer. Returns whether it was asked for.
    pub(crate) fn handle_seal_reply(
        &mut self,
        now: BootInstant,
        reply: &SealReply,
        out: &mut Outbox,
    ) -> bool {
        let round = self.round.as_mut();
        round.is_some_and(|it| it.handle_reply(now, reply, out))
    }

    /// Takes a promise to the deputy. Returns whether it was asked for.
    pub(crate) fn handle_promise(&mut self, now: BootInstant, promise: &Promise) -> bool {
        self.deputy.as_mut().is_some_and(|it| it.handle_promise(now, promise))
    }

    /// Answers a beat as deputy. Returns whether it did.
    pub(crate) fn handle_beat(
        &self,
        now: BootInstant,
        beat: &Beat,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) -> bool {
        self.deputy.as_ref().is_some_and(|it| it.handle_beat(now, beat, settings, out))
    }

    fn log_deputy(&self, began: bool, out: &mut Outbox) {
        if let Some(round) = &self.round {
            let (cell, term) = (self.context.cell, round.term());
            out.log(OwnershipEvent::Deputy { cell, term, began });
        }
    }
}
