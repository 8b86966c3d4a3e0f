//! Extends leases while the store is down.

use crate::{
    Beat, BootInstant, ControlMessage, Grant, GrantSet, Member, Promise, PromiseRole,
    SettingsVersion, Term, WitnessSet,
    process::{Context, Outbox, PromiseBook},
};

/// Extends leases of a lost coordinator's term while the store is down, and does nothing else.
#[derive(Debug)]
pub(crate) struct Deputy {
    context: Context,
    term: Term,
    witnesses: WitnessSet,
    promises: PromiseBook,
}

impl Deputy {
    pub(crate) fn new(
        context: Context,
        now: BootInstant,
        term: Term,
        witnesses: WitnessSet,
    ) -> Self {
        let promises = PromiseBook::new(context, term, PromiseRole::Deputy, now);
        Self { context, term, witnesses, promises }
    }

    pub(crate) fn next_wakeup(&self) -> BootInstant {
        self.promises.next_ask_at()
    }

    /// Asks the witnesses for their promises.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        let witnesses: Vec<Member> = self.witnesses.witnesses.iter().map(|it| it.member).collect();
        self.promises.advance(now, &witnesses, self.witnesses.generation, out);
    }

    /// Takes a promise. Returns whether it was asked for.
    pub(crate) fn handle_promise(&mut self, now: BootInstant, promise: &Promise) -> bool {
        self.promises.handle_promise(now, promise)
    }

    /// Answers a beat. Returns whether it did.
    pub(crate) fn handle_beat(
        &self,
        now: BootInstant,
        beat: &Beat,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) -> bool {
        let until = self.promises.quorum_until(&self.witnesses);
        if now >= until || beat.holding.is_none_or(|it| it.0 != self.term) {
            return false;
        }
        let mut lease_ms = self.context.timing.lease_ms;
        if beat.from == self.context.me {
            let left = until.saturating_since(now).as_millis();
            lease_ms = lease_ms.min(u32::try_from(left).unwrap_or(u32::MAX));
        }
        let grant = Grant {
            cell: beat.cell,
            term: self.term,
            from: self.context.me,
            to: beat.from,
            sequence: beat.sequence,
            lease_ms,
            set: GrantSet::Extend,
            witnesses: None,
            settings,
        };
        out.send(beat.from.vm, ControlMessage::Grant(grant));
        true
    }
}
