//! The roles of a node, and what passes between them.

use std::time::Duration;

use crate::{
    Action, Beat, BeatRefusal, BeatRefusalReason, BootInstant, CellId, CellRow, CellView,
    ControlMessage, DropReason, Event, Grant, GrantSet, HeldSlices, Member, NodeConfig, Nudge,
    OwnershipEvent, PlannerWeights, PlantedFault, Promise, SealOutcome, SealReply, StoreReply,
    StoreRequestId, StoredRow, Term, VmId,
    process::{
        Candidacy, CellCoordinator, Context, Grounds, Inauguration, Knowledge, LeaseHolder,
        Members, Outbox, Promiser, PublishedMembers, ReadPlan, RowReader, RowWatch, SettingsWatch,
        StoreWriter, TermTaking, WriteOutcome, ms,
    },
};

/// Pause before an operator's order is tried again while a write is pending.
const ORDER_RETRY: Duration = Duration::from_millis(20);

/// Leases without a grant after which a node reads the row again.
const LOST_CONTACT_LEASES: u32 = 3;

/// The roles of a node, and what passes between them.
#[derive(Debug)]
pub(crate) struct Roles {
    context: Context,
    now: BootInstant,
    knowledge: Knowledge,
    weights: PlannerWeights,
    settings: SettingsWatch,
    holder: LeaseHolder,
    witness: Promiser,
    candidate: Candidacy,
    coordinator: Option<CellCoordinator>,
    published_members: PublishedMembers,
    /// Members that beat here although this node does not coordinate.
    heard: Members,
    writer: StoreWriter,
    reader: RowReader,
    watch: RowWatch,
    taking: TermTaking,
    reads: ReadPlan,
}

impl Roles {
    pub(crate) fn new(context: Context, config: &NodeConfig, now: BootInstant) -> Self {
        Self {
            context,
            now,
            knowledge: Knowledge::default(),
            weights: PlannerWeights::default(),
            settings: SettingsWatch::default(),
            holder: LeaseHolder::new(context, now),
            witness: Promiser::new(context),
            candidate: Candidacy::new(context),
            coordinator: None,
            published_members: PublishedMembers::default(),
            heard: Members::new(context),
            writer: StoreWriter::new(context),
            reader: RowReader::new(context, now),
            watch: RowWatch::default(),
            taking: TermTaking::new(context, config.clone()),
            reads: ReadPlan::new(context, now),
        }
    }

    #[cfg(feature = "planted-faults")]
    pub(crate) fn context(&self) -> &Context {
        &self.context
    }

    /// When the last event was handled, or the node started.
    #[cfg(feature = "planted-faults")]
    pub(crate) fn now(&self) -> BootInstant {
        self.now
    }

    pub(crate) fn held_slices(&self) -> &HeldSlices {
        self.holder.held()
    }

    pub(crate) fn cell_view(&self) -> CellView {
        let coordinator = self.coordinator.as_ref();
        let witnesses = self.knowledge.witnesses.witnesses.iter();
        CellView {
            term: self.knowledge.term,
            coordinator: self.knowledge.coordinator,
            witnesses: witnesses.map(|it| it.member).collect(),
            row: self.knowledge.row.as_ref().map(|it| it.row.clone()),
            members: coordinator.map(|it| it.live_members(self.now)).unwrap_or_default(),
        }
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        let times = [
            Some(self.holder.next_wakeup()),
            Some(self.reads.next_wakeup()),
            self.reader.next_wakeup(),
            self.writer.next_wakeup(),
            self.candidate.next_wakeup(),
            self.coordinator.as_ref().map(CellCoordinator::next_wakeup),
        ];
        times.into_iter().flatten().min()
    }

    pub(crate) fn handle(&mut self, now: BootInstant, event: Event, out: &mut Outbox) {
        match event {
            Event::Wakeup => {}
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::Store { request, reply } => self.handle_store(now, request, &reply, out),
            Event::TargetUp { slots, checks_grants } => {
                self.holder.target_up(now, slots, checks_grants, out);
            }
            Event::TargetDown => self.holder.target_down(now, out),
            Event::Drain => self.holder.drain(now),
            Event::SliceStopped(id) => self.holder.slice_stopped(now, id),
            Event::LoadMeasured(loads) => self.holder.load_measured(loads),
            Event::SettingsSeen { in_force, highest } => self.settings.learn(in_force, highest),
            Event::Takeover { cell } => self.order_takeover(now, cell, out),
            Event::WeightsChanged(weights) => self.change_weights(now, weights),
            Event::Move { hash, to, .. } => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.move_slice(now, hash, to, out);
                }
            }
        }
    }

    fn change_weights(&mut self, now: BootInstant, weights: PlannerWeights) {
        if weights == self.weights {
            return;
        }
        self.weights = weights;
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_weights(now, weights);
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        now: BootInstant,
        from: VmId,
        message: ControlMessage,
        out: &mut Outbox,
    ) {
        if message.cell() != self.context.cell {
            return out.drop_message(DropReason::OtherReceiver);
        }
        match message {
            ControlMessage::Beat(beat) => self.handle_beat(now, &beat, out),
            ControlMessage::Grant(grant) => self.handle_grant(now, &grant, out),
            ControlMessage::BeatRefusal(refusal) => {
                self.holder.handle_refusal(now, &refusal, &mut self.knowledge, out);
            }
            ControlMessage::Nudge(nudge) => self.handle_nudge(now, from, nudge),
            ControlMessage::PromiseRequest(request) => {
                self.witness.handle_promise_request(now, &request, &mut self.knowledge, out);
            }
            ControlMessage::Promise(promise) => self.handle_promise(now, &promise, out),
            ControlMessage::SealRequest(request) => {
                self.witness.handle_seal_request(now, &request, &mut self.knowledge, out);
            }
            ControlMessage::SealReply(reply) => self.handle_seal_reply(now, &reply, out),
        }
    }

    fn handle_beat(&mut self, now: BootInstant, beat: &Beat, out: &mut Outbox) {
        self.settings.hear(beat.settings, beat.from.vm, out);
        self.knowledge.learn_term(now, beat.term, None);
        self.step_down_if_superseded(out);
        if let Some(coordinator) = &mut self.coordinator {
            let (pending, highest) = (self.writer.pending(), self.settings.highest);
            return coordinator.handle_beat(now, beat, pending, highest, out);
        }
        if self.candidate.handle_beat(now, beat, self.settings.highest, out) {
            return;
        }
        self.heard.record(now, beat);
        let refusal = self.heard.refusal(beat).unwrap_or(BeatRefusal {
            cell: beat.cell,
            sequence: beat.sequence,
            reason: BeatRefusalReason::NotCoordinator {
                term: self.knowledge.term,
                coordinator: self.knowledge.coordinator,
            },
        });
        out.send(beat.from.vm, ControlMessage::BeatRefusal(refusal));
    }

    fn handle_grant(&mut self, now: BootInstant, grant: &Grant, out: &mut Outbox) {
        if !self.holder.handle_grant(now, grant, &self.knowledge, out) {
            return;
        }
        self.settings.hear(grant.settings, grant.from.vm, out);
        if grant.set == GrantSet::Extend {
            return;
        }
        self.knowledge.learn_term(now, grant.term, Some(grant.from));
        match &grant.witnesses {
            Some(witnesses) => self.knowledge.learn_witnesses(now, grant.term, witnesses),
            None => self.knowledge.confirm_witnesses(grant.term),
        }
    }

    fn handle_nudge(&mut self, now: BootInstant, from: VmId, nudge: Nudge) {
        if nudge.term < self.knowledge.term {
            return;
        }
        self.knowledge.learn_term(now, nudge.term, None);
        self.holder.nudge(now, from);
    }

    fn handle_promise(&mut self, now: BootInstant, promise: &Promise, out: &mut Outbox) {
        let coordinator = self.coordinator.as_mut();
        let is_asked = coordinator.is_some_and(|it| it.handle_promise(now, promise))
            || self.candidate.handle_promise(now, promise);
        if !is_asked {
            out.drop_message(DropReason::Unsolicited);
        }
    }

    fn handle_seal_reply(&mut self, now: BootInstant, reply: &SealReply, out: &mut Outbox) {
        if let SealOutcome::Stale { term, generation } = reply.outcome {
            self.knowledge.learn_term(now, term, None);
            if generation > self.knowledge.witnesses.generation {
                self.reader.want(now);
            }
        }
        let coordinator = self.coordinator.as_mut();
        let is_asked = coordinator.is_some_and(|it| it.handle_seal_reply(reply))
            || self.candidate.handle_seal_reply(now, reply, out);
        if !is_asked {
            out.drop_message(DropReason::Unsolicited);
        }
    }

    fn handle_store(
        &mut self,
        now: BootInstant,
        request: StoreRequestId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        if let Some(outcome) = self.writer.handle_reply(now, request, reply, out) {
            self.handle_outcome(now, outcome, out);
        }
        if let Some(stored) = self.reader.handle_reply(now, request, reply, out) {
            self.handle_row(now, stored, out);
        }
    }

    fn handle_outcome(&mut self, now: BootInstant, outcome: WriteOutcome, out: &mut Outbox) {
        match outcome {
            WriteOutcome::Committed { stored, sent_at } => {
                self.handle_committed(now, stored, sent_at, out);
            }
            WriteOutcome::RuledOut => {
                self.taking.ruled_out();
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.write_ended();
                }
                self.reader.want(now);
            }
            WriteOutcome::NeedsRead => self.reader.want(now),
        }
    }

    fn handle_committed(
        &mut self,
        now: BootInstant,
        stored: StoredRow,
        sent_at: BootInstant,
        out: &mut Outbox,
    ) {
        let former_term = Term(stored.row.term.0.saturating_sub(1));
        let grounds = self.taking.take_grounds(self.candidate.was_deputy(former_term));
        let former = self.knowledge.row.as_ref().map(|it| it.row.coordinator);
        self.knowledge.learn_row(now, &stored);
        if stored.row.term < self.knowledge.term {
            return self.step_down_if_superseded(out);
        }
        if stored.row.coordinator != self.context.me {
            // The term was handed over.
            let nudge = Nudge { cell: self.context.cell, term: stored.row.term };
            out.send(stored.row.coordinator.vm, ControlMessage::Nudge(nudge));
            return self.step_down_if_superseded(out);
        }
        if let Some(coordinator) = &mut self.coordinator {
            return coordinator.write_committed(now, stored, sent_at, out);
        }
        self.take_office(now, stored, Some(sent_at), grounds, former, out);
    }

    fn take_office(
        &mut self,
        now: BootInstant,
        stored: StoredRow,
        written_at: Option<BootInstant>,
        grounds: Grounds,
        former: Option<Member>,
        out: &mut Outbox,
    ) {
        let office = grounds.office(&self.context, now, former);
        let term = stored.row.term;
        let heard = std::mem::replace(&mut self.heard, Members::new(self.context));
        let weights = self.weights;
        let start = Inauguration { stored, written_at, office, heard, weights };
        let coordinator = CellCoordinator::new(self.context, now, start);
        coordinator.nudge_all(out);
        self.coordinator = Some(coordinator);
        self.candidate.end(out);
        self.holder.nudge(now, self.context.me.vm);
        out.log(OwnershipEvent::TermTaken { cell: self.context.cell, term });
    }

    /// Handles what a read found.
    fn handle_row(&mut self, now: BootInstant, stored: Option<&StoredRow>, out: &mut Outbox) {
        if let Some(outcome) = self.writer.handle_row(now, stored) {
            self.handle_outcome(now, outcome, out);
        }
        let Some(stored) = stored else {
            return self.taking.create(now, &self.knowledge, &mut self.writer, out);
        };
        if !self.knowledge.learn_row(now, stored) {
            return;
        }
        self.restart_if_outlived(&stored.row, out);
        self.candidate.handle_row(stored);
        self.step_down_if_superseded(out);
        let is_mine = stored.row.coordinator == self.context.me;
        if is_mine && stored.row.term == self.knowledge.term && self.coordinator.is_none() {
            let grounds = Grounds::named_by_row();
            return self.take_office(now, stored.clone(), None, grounds, None, out);
        }
        if self.taking.is_ordered() {
            return self.carry_out_order(now, stored, out);
        }
        let is_over = self.watch.observe(&self.context, now, stored.version);
        let by_store = stored.row.witnesses.witnesses.is_empty();
        if by_store && is_over && self.coordinator.is_none() {
            self.take_over(now, stored, Some(now), out);
        }
    }

    /// Takes the next term after the end of the coordinator in the row.
    fn take_over(
        &mut self,
        now: BootInstant,
        stored: &StoredRow,
        since: Option<BootInstant>,
        out: &mut Outbox,
    ) {
        let known = (&self.knowledge, &self.heard);
        self.taking.follow(now, stored, since, known, &mut self.writer, out);
    }

    fn order_takeover(&mut self, now: BootInstant, cell: CellId, out: &mut Outbox) {
        if cell != self.context.cell {
            return;
        }
        out.log(OwnershipEvent::TakeoverOrdered { cell });
        self.taking.order();
        self.reader.want(now);
    }

    fn carry_out_order(&mut self, now: BootInstant, stored: &StoredRow, out: &mut Outbox) {
        if !self.writer.is_idle(now) {
            return self.reader.want_at(now + ORDER_RETRY);
        }
        self.step_down(out);
        self.holder.refuse_up_to(stored.row.term);
        self.taking.carry_out(now, stored, &mut self.writer, out);
    }

    fn step_down_if_superseded(&mut self, out: &mut Outbox) {
        let knowledge = &self.knowledge;
        let is_superseded = |it: &CellCoordinator| {
            it.term() < knowledge.term
                || knowledge.coordinator.is_some_and(|it| it != self.context.me)
        };
        if self.coordinator.as_ref().is_some_and(is_superseded) {
            self.step_down(out);
        }
        self.writer.rule_out_below(self.knowledge.term);
    }

    fn step_down(&mut self, out: &mut Outbox) {
        if let Some(coordinator) = self.coordinator.take() {
            let (cell, term) = (self.context.cell, coordinator.term());
            out.log(OwnershipEvent::TermLost { cell, term });
        }
    }

    /// A later life of this VM stands in the row: this one must end.
    fn restart_if_outlived(&self, row: &CellRow, out: &mut Outbox) {
        let me = self.context.me;
        if let Some(known) = row.latest_life(me.vm).filter(|it| *it > me.incarnation) {
            out.act(Action::Restart { known });
        }
    }

    /// Does what is due in every role.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        self.now = now;
        self.step_down_if_superseded(out);
        self.writer.advance(now, out);
        if let Some(coordinator) = &mut self.coordinator {
            let draining = self.holder.target().draining;
            coordinator.advance(now, draining, &mut self.writer, out);
        }
        let (knowledge, witness) = (&self.knowledge, &self.witness);
        self.candidate.advance(now, knowledge, witness, &mut self.reader, out);
        if self.writer.is_idle(now)
            && let Some((stored, since)) = self.candidate.take_sealed_row()
        {
            self.take_over(now, &stored, since, out);
        }
        self.plan_read(now, out);
        self.reader.advance(now, out);
        self.advance_holder(now, out);
    }

    fn advance_holder(&mut self, now: BootInstant, out: &mut Outbox) {
        let timing = &self.context.timing;
        let beat_ms = match self.coordinator {
            Some(_) => timing.promise_beat_ms.min(timing.beat_ms),
            None => timing.beat_ms,
        };
        self.holder.set_beat_ms(beat_ms);
        self.holder.advance(now, &self.knowledge, self.settings.in_force, out);
        let unbounded = self.context.planted(PlantedFault::CoordinatorUnbounded);
        if let Some(coordinator) = &self.coordinator
            && self.holder.held().term == coordinator.term()
            && !unbounded
        {
            self.holder.shorten(coordinator.entitled_until());
        }
    }

    /// Reads the row now and then: to find a coordinator, or to notice an operator's takeover.
    fn plan_read(&mut self, now: BootInstant, out: &mut Outbox) {
        let is_called = self.coordinator.is_none()
            && self.knowledge.coordinator == Some(self.context.me)
            && self.writer.pending().is_none();
        if is_called && !self.reader.is_wanted() {
            self.reader.want_at(now);
        }
        let lost_contact = ms(self.context.timing.lease_ms) * LOST_CONTACT_LEASES;
        let has_contact = self.holder.granted_at().is_some_and(|it| now < it + lost_contact);
        let is_needed = self.coordinator.is_some() || !has_contact;
        if self.reads.advance(now, is_needed, &mut self.reader, out) {
            self.heard.forget(now, |_| false);
        }
    }

    pub(crate) fn publish(&mut self, out: &mut Outbox) {
        if self.holder.take_changed() {
            out.act(Action::PublishHeld);
        }
        let interval = ms(self.context.timing.beat_ms);
        let coordinator = self.coordinator.as_ref();
        let members_changed = self.published_members.have_changed(self.now, interval, coordinator);
        if std::mem::take(&mut self.knowledge.changed) || members_changed {
            out.act(Action::PublishRoutes(self.context.cell));
        }
    }
}
