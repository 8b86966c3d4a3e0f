//! Asks for leases and holds them.

use std::time::Duration;

use crate::{
    Action, Beat, BeatRefusal, BeatRefusalReason, BootInstant, ControlMessage, DropReason, Grant,
    GrantSet, HeldSlices, OwnershipEvent, PlantedFault, SettingsVersion, SliceEpoch, SliceLoad,
    Term, VmId,
    process::{BeatLog, BeatSchedule, Context, Knowledge, LeaseSet, Outbox, SentBeat, Target, ms},
};

/// Asks the cell's coordinator for leases, holds them, and releases slices when told to.
#[derive(Debug)]
pub(crate) struct LeaseHolder {
    context: Context,
    target: Target,
    leases: LeaseSet,
    beats: BeatLog,
    schedule: BeatSchedule,
    loads: Vec<SliceLoad>,
    refuse_up_to: Term,
    granted_at: Option<BootInstant>,
    live: bool,
}

impl LeaseHolder {
    pub(crate) fn new(context: Context, now: BootInstant) -> Self {
        Self {
            context,
            target: Target::default(),
            leases: LeaseSet::new(context.planted(PlantedFault::ReleaseNotFinal)),
            beats: BeatLog::default(),
            schedule: BeatSchedule::new(now, ms(context.timing.beat_ms)),
            loads: Vec::new(),
            refuse_up_to: Term(0),
            granted_at: None,
            live: false,
        }
    }

    pub(crate) fn held(&self) -> &HeldSlices {
        self.leases.held()
    }

    pub(crate) fn target(&self) -> Target {
        self.target
    }

    /// When the last grant was accepted.
    pub(crate) fn granted_at(&self) -> Option<BootInstant> {
        self.granted_at
    }

    pub(crate) fn take_changed(&mut self) -> bool {
        self.leases.take_changed()
    }

    /// When the holder has something to do.
    pub(crate) fn next_wakeup(&self) -> BootInstant {
        let expiry = self.live.then_some(self.leases.held().expires_at);
        let times = [expiry, self.leases.next_wakeup()];
        times.into_iter().flatten().fold(self.schedule.due_at(), BootInstant::min)
    }

    /// The target announced itself.
    pub(crate) fn target_up(
        &mut self,
        now: BootInstant,
        slots: u32,
        checks_grants: bool,
        out: &mut Outbox,
    ) {
        if self.target.checks_grants && !checks_grants {
            self.stop_all(out);
        }
        self.target.slots = slots;
        self.target.checks_grants = checks_grants;
        self.schedule.hasten(now);
    }

    /// The target is gone: its slices are given up as soon as nothing is in progress.
    pub(crate) fn target_down(&mut self, now: BootInstant, out: &mut Outbox) {
        self.target.slots = 0;
        self.stop_all(out);
        self.schedule.hasten(now);
    }

    /// The target leaves: the coordinator is asked to move its slices.
    pub(crate) fn drain(&mut self, now: BootInstant) {
        self.target.draining = true;
        self.schedule.hasten(now);
    }

    /// Nothing is in progress on a slice that was stopped.
    pub(crate) fn slice_stopped(&mut self, now: BootInstant, id: SliceEpoch) {
        self.leases.stopped(id);
        self.release_stopped(now);
    }

    fn release_stopped(&mut self, now: BootInstant) {
        if self.leases.release_stopped(now) {
            self.schedule.hasten(now);
        }
    }

    pub(crate) fn load_measured(&mut self, loads: Vec<SliceLoad>) {
        self.loads = loads;
    }

    /// Wants a beat to this VM, which may grant.
    pub(crate) fn nudge(&mut self, now: BootInstant, from: VmId) {
        self.schedule.hasten_to(now, from);
    }

    /// Accepts no grant of this term or an older one that answers a beat sent from now on.
    pub(crate) fn refuse_up_to(&mut self, term: Term) {
        self.refuse_up_to = self.refuse_up_to.max(term);
    }

    /// Changes the interval of beats.
    pub(crate) fn set_beat_ms(&mut self, beat_ms: u32) {
        self.schedule.set_interval(ms(beat_ms));
    }

    /// Lets no lease end later than `limit`, the end of this node's own entitlement to grant.
    pub(crate) fn shorten(&mut self, limit: BootInstant) {
        self.leases.shorten(limit);
    }

    /// Sends a beat if one is due, and notices that the leases have run out.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        knowledge: &Knowledge,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) {
        self.notice_expiry(now, out);
        let due_stops = self.leases.take_due_stops(now);
        self.stop(due_stops, out);
        self.release_stopped(now);
        if now >= self.schedule.due_at() {
            self.send_beat(now, knowledge, settings, out);
        }
    }

    fn notice_expiry(&mut self, now: BootInstant, out: &mut Outbox) {
        let was_live = std::mem::replace(&mut self.live, self.leases.is_live(now));
        let slices = u32::try_from(self.held().slices.len()).unwrap_or(u32::MAX);
        if was_live && !self.live && slices > 0 {
            out.log(OwnershipEvent::LeaseLost { cell: self.context.cell, slices });
        }
    }

    fn send_beat(
        &mut self,
        now: BootInstant,
        knowledge: &Knowledge,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) {
        let witnesses = knowledge.witnesses.witnesses.iter().map(|it| it.member);
        let receivers = self.schedule.receivers(knowledge.coordinator, witnesses);
        self.schedule.sent(now);
        if receivers.is_empty() {
            return;
        }
        let holding = self.leases.holding();
        let beat = Beat {
            cell: self.context.cell,
            from: self.context.me,
            place: self.context.place,
            sequence: out.next_sequence(),
            term: knowledge.term,
            holding,
            witness_generation: knowledge.witnesses.generation,
            answered: self.beats.last_answered(),
            released: self.leases.released().to_vec(),
            slots: self.target.slots,
            checks_grants: self.target.checks_grants,
            draining: self.target.draining,
            settings,
            loads: std::mem::take(&mut self.loads),
        };
        self.beats.record(SentBeat { sequence: beat.sequence, sent_at: now, holding });
        for to in receivers {
            out.send(to, ControlMessage::Beat(beat.clone()));
        }
    }

    /// Handles a grant. Returns whether it answers a beat of this node and is in force.
    pub(crate) fn handle_grant(
        &mut self,
        now: BootInstant,
        grant: &Grant,
        knowledge: &Knowledge,
        out: &mut Outbox,
    ) -> bool {
        match self.accept_grant(now, grant, knowledge, out) {
            Ok(()) => true,
            Err(reason) => {
                out.drop_message(reason);
                false
            }
        }
    }

    fn accept_grant(
        &mut self,
        now: BootInstant,
        grant: &Grant,
        knowledge: &Knowledge,
        out: &mut Outbox,
    ) -> Result<(), DropReason> {
        let faults = self.context.faults;
        if grant.to != self.context.me && !faults.contains(PlantedFault::NoIncarnationCheck) {
            return Err(DropReason::OtherReceiver);
        }
        let oldest = knowledge.term.max(Term(self.refuse_up_to.0 + 1));
        if grant.term < oldest && !faults.contains(PlantedFault::NoTermCheck) {
            return Err(DropReason::OldTerm);
        }
        let beat = self.beats.awaited(grant.sequence).ok_or(DropReason::Unsolicited)?;
        let anchor =
            if faults.contains(PlantedFault::AnchorAtReceipt) { now } else { beat.sent_at };
        let expires_at = anchor + ms(grant.lease_ms);
        match &grant.set {
            GrantSet::Unchanged => {
                let same = beat.holding.is_some() && beat.holding == self.leases.holding();
                if !same || beat.holding.is_none_or(|it| it.0 != grant.term) {
                    return Err(DropReason::Unsolicited);
                }
                self.leases.renew(expires_at);
            }
            GrantSet::Full { version, slices } => {
                let holding = (grant.term, *version);
                self.leases.replace(grant.cell, holding, slices, self.work_tail());
                self.leases.renew(expires_at);
                self.stop_without_target(out);
            }
            GrantSet::Extend => self.extend(now, grant.term, expires_at)?,
        }
        if !faults.contains(PlantedFault::NoSequenceCheck) {
            self.beats.answer(grant.sequence);
        }
        self.schedule.answered(grant.from.vm);
        self.granted_at = Some(now);
        self.live = self.leases.is_live(now);
        if !self.leases.released().is_empty() {
            self.schedule.hasten(now);
        }
        Ok(())
    }

    /// A deputy extends leases that have not run out, and nothing else.
    fn extend(
        &mut self,
        now: BootInstant,
        term: Term,
        expires_at: BootInstant,
    ) -> Result<(), DropReason> {
        let lapsed = !self.leases.is_live(now) && !self.context.planted(PlantedFault::ExtendLapsed);
        if lapsed || self.held().term != term {
            return Err(DropReason::OldTerm);
        }
        self.leases.renew(expires_at.max(self.held().expires_at));
        Ok(())
    }

    /// Handles a refusal of a beat. Returns the later life of this node if there is one.
    pub(crate) fn handle_refusal(
        &mut self,
        now: BootInstant,
        refusal: &BeatRefusal,
        knowledge: &mut Knowledge,
        out: &mut Outbox,
    ) {
        if self.beats.awaited(refusal.sequence).is_none() {
            return;
        }
        match refusal.reason {
            BeatRefusalReason::NotCoordinator { term, coordinator } => {
                let before = (knowledge.term, knowledge.coordinator);
                knowledge.learn_term(now, term, coordinator);
                if before != (knowledge.term, knowledge.coordinator) {
                    self.schedule.hasten(now);
                }
            }
            BeatRefusalReason::OldIncarnation { known } => {
                if known <= self.context.me.incarnation {
                    return;
                }
                self.leases.shorten(now);
                out.act(Action::Restart { known });
            }
        }
    }

    /// How long work may outlast the lease under which it began.
    fn work_tail(&self) -> Duration {
        if self.target.checks_grants {
            return Duration::ZERO;
        }
        ms(self.context.timing.order_limit_ms)
    }

    fn stop_all(&mut self, out: &mut Outbox) {
        let to_stop = self.leases.stop_all();
        self.stop(to_stop, out);
    }

    /// Slices granted to a node whose target is gone are given back.
    fn stop_without_target(&mut self, out: &mut Outbox) {
        if self.target.slots == 0 {
            self.stop_all(out);
        }
    }

    fn stop(&mut self, slices: Vec<SliceEpoch>, out: &mut Outbox) {
        for id in slices {
            out.act(Action::StopSlice(id));
        }
    }
}
