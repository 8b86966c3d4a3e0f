//! Promises not to help replace a coordinator, and seals that end them for good.

use std::time::Duration;

use crate::{
    BootInstant, ControlMessage, DropReason, Member, PlantedFault, Promise, PromiseRequest,
    PromiseRole, SealOutcome, SealReply, SealRequest, Sequence, Term, VmId, WitnessGeneration,
    process::{Context, Knowledge, Outbox, ms},
};

/// Promises not to help replace a coordinator for a while, and seals that end them for good.
#[derive(Debug)]
pub(crate) struct Promiser {
    context: Context,
    /// The term that the seals belong to.
    term: Term,
    /// Until when a promise to anyone is live.
    promised_until: Option<BootInstant>,
    /// The candidates that were given a seal of the term, the first one first.
    sealed_for: Vec<Member>,
    sealed_at: Option<BootInstant>,
    /// The highest generation that was acknowledged.
    generation: WitnessGeneration,
}

impl Promiser {
    pub(crate) fn new(context: Context) -> Self {
        Self {
            context,
            term: Term(0),
            promised_until: None,
            sealed_for: Vec::new(),
            sealed_at: None,
            generation: WitnessGeneration(0),
        }
    }

    /// When the last promise ends or ended; `None` if none was ever given.
    pub(crate) fn promised_until(&self) -> Option<BootInstant> {
        self.promised_until
    }

    /// When the last seal of the term was given.
    pub(crate) fn sealed_at(&self, term: Term) -> Option<BootInstant> {
        if term == self.term { self.sealed_at } else { None }
    }

    /// Handles a request for a promise.
    pub(crate) fn handle_promise_request(
        &mut self,
        now: BootInstant,
        request: &PromiseRequest,
        knowledge: &mut Knowledge,
        out: &mut Outbox,
    ) {
        if request.to != self.context.me {
            return out.drop_message(DropReason::OtherReceiver);
        }
        if request.term < knowledge.term && !self.context.planted(PlantedFault::NoTermCheck) {
            let outcome = SealOutcome::Stale { term: knowledge.term, generation: self.generation };
            return self.reply(request.from.vm, request.term, request.sequence, outcome, out);
        }
        let coordinator = (request.role == PromiseRole::Coordinator).then_some(request.from);
        knowledge.learn_term(now, request.term, coordinator);
        self.enter(request.term);
        let is_deputy = request.role == PromiseRole::Deputy;
        if is_deputy && request.generation < self.generation {
            let outcome = SealOutcome::Stale { term: knowledge.term, generation: self.generation };
            return self.reply(request.from.vm, request.term, request.sequence, outcome, out);
        }
        if !self.may_promise(request) {
            let outcome = SealOutcome::Sealed { first: self.has_only_seal() };
            return self.reply(request.from.vm, request.term, request.sequence, outcome, out);
        }
        self.generation = self.generation.max(request.generation);
        self.promise_until(now + self.context.stretched(ms(self.context.timing.promise_ms)));
        let promise = Promise {
            cell: self.context.cell,
            term: request.term,
            from: self.context.me,
            sequence: request.sequence,
            generation: self.generation,
            promise_ms: self.context.timing.promise_ms,
        };
        out.send(request.from.vm, ControlMessage::Promise(promise));
    }

    fn may_promise(&self, request: &PromiseRequest) -> bool {
        match request.role {
            PromiseRole::Coordinator => {
                self.sealed_for.is_empty() || self.context.planted(PlantedFault::SealNotFinal)
            }
            PromiseRole::Deputy => {
                let only = self.has_only_seal();
                let first = self.sealed_for.first() == Some(&request.from);
                let second_allowed = self.context.planted(PlantedFault::DeputyAfterSecondSeal)
                    || self.context.planted(PlantedFault::DeputyWithoutFirstSeals);
                (only && first) || (second_allowed && self.sealed_for.contains(&request.from))
            }
        }
    }

    fn promise_until(&mut self, until: BootInstant) {
        self.promised_until = Some(self.promised_until.map_or(until, |it| it.max(until)));
    }

    /// Handles a candidate's request for a seal.
    pub(crate) fn handle_seal_request(
        &mut self,
        now: BootInstant,
        request: &SealRequest,
        knowledge: &mut Knowledge,
        out: &mut Outbox,
    ) {
        if request.to != self.context.me {
            return out.drop_message(DropReason::OtherReceiver);
        }
        knowledge.learn_term(now, request.term, None);
        let outcome = self.seal(now, request, knowledge.term);
        self.reply(request.from.vm, request.term, request.sequence, outcome, out);
    }

    fn seal(&mut self, now: BootInstant, request: &SealRequest, highest_term: Term) -> SealOutcome {
        if request.term < highest_term || request.generation < self.generation.set() {
            return SealOutcome::Stale { term: highest_term, generation: self.generation };
        }
        self.enter(request.term);
        let remaining = self.remaining_promise(now);
        if !remaining.is_zero() {
            let remaining_ms = u32::try_from(remaining.as_millis() + 1).unwrap_or(u32::MAX);
            return SealOutcome::Promised { remaining_ms };
        }
        if !self.sealed_for.contains(&request.from) {
            self.sealed_for.push(request.from);
        }
        self.sealed_at = Some(now);
        SealOutcome::Sealed { first: self.has_only_seal() }
    }

    /// Whether a deputy may rely on the seal. Not while the witnesses change, since two candidates
    /// that know different sets may then have quorums without a common witness.
    fn has_only_seal(&self) -> bool {
        self.sealed_for.len() == 1 && !self.generation.is_changing()
    }

    fn remaining_promise(&self, now: BootInstant) -> Duration {
        self.promised_until.map_or(Duration::ZERO, |it| it.saturating_since(now))
    }

    /// Forgets the seals of older terms; promises go on until they end.
    fn enter(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            // The row of the new term names one set, whatever became of the change.
            self.generation = self.generation.set();
            self.sealed_for.clear();
            self.sealed_at = None;
        }
    }

    fn reply(
        &self,
        to: VmId,
        term: Term,
        sequence: Sequence,
        outcome: SealOutcome,
        out: &mut Outbox,
    ) {
        let reply =
            SealReply { cell: self.context.cell, term, from: self.context.me, sequence, outcome };
        out.send(to, ControlMessage::SealReply(reply));
    }
}
