//! Collects the seals of a term.

use std::time::Duration;

use crate::{
    BootInstant, ControlMessage, FastMap, Member, PlantedFault, SealOutcome, SealReply,
    SealRequest, Sequence, StoredRow, Term, WITNESS_QUORUM, WitnessSet,
    process::{Context, Outbox},
};

/// Pause between two requests to a witness.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Pause between two requests once the round has lasted long.
const SLOW_ASK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a round asks at the shorter interval.
const EAGER_ROUND: Duration = Duration::from_secs(2);

/// Requests that are remembered.
const REMEMBERED_REQUESTS: usize = 64;

/// Collects the seals of a term, and the row that they allow to replace.
#[derive(Debug)]
pub(crate) struct SealRound {
    context: Context,
    term: Term,
    witnesses: WitnessSet,
    started_at: BootInstant,
    next_ask_at: BootInstant,
    asked: FastMap<Sequence, Member>,
    /// The seals, and whether each was its witness's first.
    seals: FastMap<Member, bool>,
    sealed_at: Option<BootInstant>,
    pub(crate) stored: Option<StoredRow>,
}

impl SealRound {
    pub(crate) fn new(
        context: Context,
        now: BootInstant,
        term: Term,
        witnesses: WitnessSet,
    ) -> Self {
        Self {
            context,
            term,
            witnesses,
            started_at: now,
            next_ask_at: now,
            asked: FastMap::default(),
            seals: FastMap::default(),
            sealed_at: None,
            stored: None,
        }
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Whether the round is about this term and set of witnesses.
    pub(crate) fn is_about(&self, term: Term, witnesses: &WitnessSet) -> bool {
        self.term == term && self.witnesses.generation == witnesses.generation
    }

    /// When a quorum of witnesses had sealed, so that the term's coordinator grants no more.
    pub(crate) fn sealed_at(&self) -> Option<BootInstant> {
        self.sealed_at
    }

    /// Whether this node itself has sealed the term.
    pub(crate) fn has_own_seal(&self) -> bool {
        self.seals.contains_key(&self.context.me)
    }

    /// Whether a quorum of the seals were their witnesses' first.
    pub(crate) fn may_deputize(&self) -> bool {
        let any = self.context.planted(PlantedFault::DeputyWithoutFirstSeals);
        self.seals.values().filter(|first| **first || any).count() >= WITNESS_QUORUM
    }

    pub(crate) fn next_ask_at(&self) -> Option<BootInstant> {
        self.sealed_at.is_none().then_some(self.next_ask_at)
    }

    /// Asks the witnesses that have not sealed, this node last.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        if now < self.next_ask_at || self.sealed_at.is_some() {
            return;
        }
        let is_eager = now.saturating_since(self.started_at) < EAGER_ROUND;
        self.next_ask_at = now + if is_eager { ASK_INTERVAL } else { SLOW_ASK_INTERVAL };
        if self.asked.len() > REMEMBERED_REQUESTS {
            self.asked.clear();
        }
        for witness in self.witnesses.witnesses.clone() {
            let is_me = witness.member == self.context.me;
            let is_early = is_me && self.seals.is_empty();
            if !is_early && !self.seals.contains_key(&witness.member) {
                self.ask(witness.member, out);
            }
        }
    }

    fn ask(&mut self, witness: Member, out: &mut Outbox) {
        let sequence = out.next_sequence();
        self.asked.insert(sequence, witness);
        let request = SealRequest {
            cell: self.context.cell,
            term: self.term,
            from: self.context.me,
            to: witness,
            sequence,
            generation: self.witnesses.generation,
        };
        out.send(witness.vm, ControlMessage::SealRequest(request));
    }

    /// Takes a witness's answer. Returns whether it was asked for.
    pub(crate) fn handle_reply(
        &mut self,
        now: BootInstant,
        reply: &SealReply,
        out: &mut Outbox,
    ) -> bool {
        if reply.term != self.term || self.asked.get(&reply.sequence) != Some(&reply.from) {
            return false;
        }
        self.asked.remove(&reply.sequence);
        let SealOutcome::Sealed { first } = reply.outcome else {
            return true;
        };
        let is_first_of_round = self.seals.is_empty();
        self.seals.insert(reply.from, first);
        if is_first_of_round && reply.from != self.context.me {
            self.ask(self.context.me, out);
        }
        if self.seals.len() >= WITNESS_QUORUM && self.sealed_at.is_none() {
            self.sealed_at = Some(now);
        }
        true
    }
}
