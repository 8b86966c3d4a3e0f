//! Promises that a coordinator or deputy asked for and holds.

use std::time::Duration;

use crate::{
    BootInstant, ControlMessage, FastMap, Member, PlantedFault, Promise, PromiseRequest,
    PromiseRole, Sequence, Term, WITNESS_QUORUM, WitnessGeneration, WitnessSet,
    process::{Context, Outbox, ms},
};

/// Promises that a coordinator or deputy asked for and holds, each counted from its request.
#[derive(Debug)]
pub(crate) struct PromiseBook {
    context: Context,
    term: Term,
    role: PromiseRole,
    promises: FastMap<Member, HeldPromise>,
    asked: FastMap<Sequence, AskedPromise>,
    next_ask_at: BootInstant,
}

#[derive(Debug, Clone, Copy)]
struct HeldPromise {
    ends_at: BootInstant,
    generation: WitnessGeneration,
    is_sealed: bool,
}

#[derive(Debug, Clone, Copy)]
struct AskedPromise {
    witness: Member,
    sent_at: BootInstant,
}

impl PromiseBook {
    pub(crate) fn new(context: Context, term: Term, role: PromiseRole, now: BootInstant) -> Self {
        Self {
            context,
            term,
            role,
            promises: FastMap::default(),
            asked: FastMap::default(),
            next_ask_at: now,
        }
    }

    pub(crate) fn next_ask_at(&self) -> BootInstant {
        self.next_ask_at
    }

    /// Asks the witnesses at the next opportunity.
    pub(crate) fn hasten(&mut self, now: BootInstant) {
        self.next_ask_at = self.next_ask_at.min(now);
    }

    /// Asks the witnesses if it is time to.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        witnesses: &[Member],
        generation: WitnessGeneration,
        out: &mut Outbox,
    ) {
        if now < self.next_ask_at {
            return;
        }
        self.next_ask_at = now + ms(self.context.timing.promise_beat_ms);
        let oldest = ms(self.context.timing.promise_ms);
        self.asked.retain(|_, it| now.saturating_since(it.sent_at) <= oldest);
        for witness in witnesses {
            let sequence = out.next_sequence();
            self.asked.insert(sequence, AskedPromise { witness: *witness, sent_at: now });
            let request = PromiseRequest {
                cell: self.context.cell,
                term: self.term,
                from: self.context.me,
                to: *witness,
                sequence,
                generation,
                role: self.role,
            };
            out.send(witness.vm, ControlMessage::PromiseRequest(request));
        }
    }

    /// Takes a promise. Returns whether it was asked for.
    pub(crate) fn handle_promise(&mut self, now: BootInstant, promise: &Promise) -> bool {
        if promise.term != self.term {
            return false;
        }
        let Some(asked) = self.take_asked(promise.sequence, promise.from) else {
            return false;
        };
        let at_receipt = self.context.planted(PlantedFault::AnchorAtReceipt);
        let anchor = if at_receipt { now } else { asked.sent_at };
        let ends_at = anchor + ms(promise.promise_ms);
        let held = self.promises.entry(promise.from).or_insert(HeldPromise {
            ends_at,
            generation: promise.generation,
            is_sealed: false,
        });
        held.ends_at = held.ends_at.max(ends_at);
        held.generation = held.generation.max(promise.generation);
        true
    }

    /// Notes that a witness will never promise again in this term. Returns whether it was asked.
    pub(crate) fn handle_seal(&mut self, sequence: Sequence, witness: Member) -> bool {
        let Some(asked) = self.take_asked(sequence, witness) else {
            return false;
        };
        let sealed = HeldPromise {
            ends_at: asked.sent_at,
            generation: WitnessGeneration(0),
            is_sealed: true,
        };
        self.promises.entry(witness).or_insert(sealed).is_sealed = true;
        true
    }

    fn take_asked(&mut self, sequence: Sequence, witness: Member) -> Option<AskedPromise> {
        let asked = *self.asked.get(&sequence)?;
        if asked.witness != witness {
            return None;
        }
        self.asked.remove(&sequence)
    }

    /// Until when a quorum of the set's promises lasts.
    pub(crate) fn quorum_until(&self, set: &WitnessSet) -> BootInstant {
        let ends = |it: &Member| self.promises.get(it).map(|held| held.ends_at);
        let mut ends: Vec<_> = set.witnesses.iter().filter_map(|it| ends(&it.member)).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(WITNESS_QUORUM - 1).copied().unwrap_or_default()
    }

    /// Whether the witness has acknowledged the generation in a promise.
    pub(crate) fn has_acknowledged(&self, witness: Member, generation: WitnessGeneration) -> bool {
        self.promises.get(&witness).is_some_and(|it| it.generation >= generation)
    }

    /// Whether the witness will never promise again in this term.
    pub(crate) fn is_sealed(&self, witness: Member) -> bool {
        self.promises.get(&witness).is_some_and(|it| it.is_sealed)
    }

    /// Whether the witness's last promise ended longer than `grace` ago, or none ever came.
    pub(crate) fn is_silent(&self, now: BootInstant, witness: Member, grace: Duration) -> bool {
        self.promises.get(&witness).is_none_or(|it| now > it.ends_at + grace)
    }
}
