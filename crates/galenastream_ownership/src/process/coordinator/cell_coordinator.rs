//! The coordinator of a cell.

use std::time::Duration;

use crate::{
    Beat, BootInstant, CellRow, ControlMessage, Grant, KeyHash, LiveMember, Member, Nudge,
    OwnershipEvent, PlannerWeights, PlantedFault, Promise, SealOutcome, SealReply, SettingsVersion,
    StoredRow, Term, VmId,
    process::{
        Context, Entitlement, GrantBook, Inauguration, Losses, LostOwners, Members, Moves, NextRow,
        Outbox, PendingWrite, RowBuilder, StoreWriter, Succession, WitnessChoice, ms,
    },
};

/// Interval between two looks while there is nothing to do or no right to do it.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The coordinator of a cell: answers beats, notices losses, moves slices, and writes the row.
#[derive(Debug)]
pub(crate) struct CellCoordinator {
    context: Context,
    stored: StoredRow,
    owners: Vec<Member>,
    entitlement: Entitlement,
    members: Members,
    losses: Losses,
    moves: Moves,
    grants: GrantBook,
    /// Owners that the pending write takes for lost.
    losses_in_flight: Vec<Member>,
    /// Whether the row may have to change for another reason than time.
    is_dirty: bool,
    renew_at: BootInstant,
    /// When the owners have had the time to ask for what the last write gave them.
    settled_at: BootInstant,
    /// No owner is lost before, unless something else than time changes.
    judge_at: BootInstant,
    wakeup: BootInstant,
}

impl CellCoordinator {
    pub(crate) fn new(context: Context, now: BootInstant, start: Inauguration) -> Self {
        let Inauguration { stored, written_at, office, heard, weights } = start;
        let (term, witnesses) = (stored.row.term, stored.row.witnesses.clone());
        let is_new_cell = term == Term(1);
        let mut coordinator = Self {
            context,
            owners: Vec::new(),
            entitlement: Entitlement::new(context, now, term, witnesses, written_at),
            members: heard,
            losses: Losses::new(context, office),
            moves: Moves::new(now, weights, is_new_cell),
            grants: GrantBook::new(context),
            losses_in_flight: Vec::new(),
            is_dirty: true,
            renew_at: now,
            settled_at: now + ms(context.timing.beat_ms),
            judge_at: now,
            wakeup: now,
            stored,
        };
        coordinator.row_changed();
        if let Some(written_at) = written_at {
            coordinator.plan_renewal(written_at);
        }
        coordinator
    }

    pub(crate) fn term(&self) -> Term {
        self.stored.row.term
    }

    /// Until when this node may grant, and its own leases may last.
    pub(crate) fn entitled_until(&self) -> BootInstant {
        self.entitlement.until()
    }

    pub(crate) fn next_wakeup(&self) -> BootInstant {
        self.wakeup
    }

    /// The members that were heard of within a lease.
    pub(crate) fn live_members(&self, now: BootInstant) -> Vec<LiveMember> {
        self.members.live(now).into_iter().map(|it| it.to_live_member()).collect()
    }

    pub(crate) fn set_weights(&mut self, now: BootInstant, weights: PlannerWeights) {
        self.moves.set_weights(now, weights);
    }

    /// Asks the owners of slices and the witnesses to beat now.
    pub(crate) fn nudge_all(&self, out: &mut Outbox) {
        let witnesses = self.entitlement.committed().witnesses.iter().map(|it| it.member);
        self.nudge(self.owners.iter().copied().chain(witnesses), out);
    }

    fn nudge(&self, members: impl Iterator<Item = Member>, out: &mut Outbox) {
        let mut vms: Vec<VmId> = members.map(|it| it.vm).collect();
        vms.sort_unstable();
        vms.dedup();
        let nudge = Nudge { cell: self.context.cell, term: self.term() };
        for vm in vms {
            out.send(vm, ControlMessage::Nudge(nudge));
        }
    }

    /// Handles a beat: answers it if this node is entitled to.
    pub(crate) fn handle_beat(
        &mut self,
        now: BootInstant,
        beat: &Beat,
        pending: Option<&PendingWrite>,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) {
        if let Some(refusal) = self.members.refusal(beat) {
            return out.send(beat.from.vm, ControlMessage::BeatRefusal(refusal));
        }
        let before = self.members.standing(now, beat.from);
        if !self.members.record(now, beat) {
            return;
        }
        self.is_dirty |= before != self.members.standing(now, beat.from);
        self.moves.record_loads(now, &beat.loads);
        if self.moves.release(&self.stored.row, beat.from, &beat.released) {
            self.is_dirty = true;
            self.grants.invalidate();
        }
        if self.may_answer(now, beat, pending) {
            self.answer(now, beat, settings, out);
        }
    }

    fn may_answer(&self, now: BootInstant, beat: &Beat, pending: Option<&PendingWrite>) -> bool {
        if !self.entitlement.is_live(now) {
            return false;
        }
        let Some(record) = self.members.get(beat.from) else {
            return false;
        };
        // A row that says that its target checks grants would let its orders be forgotten.
        let listed = |row: &CellRow| row.checks_grants(beat.from) && !beat.checks_grants;
        let is_misjudged = listed(&self.stored.row) || pending.is_some_and(|it| listed(&it.row));
        !record.is_deaf && !is_misjudged
    }

    fn answer(
        &mut self,
        now: BootInstant,
        beat: &Beat,
        settings: SettingsVersion,
        out: &mut Outbox,
    ) {
        let lease_ms = self.lease_ms(now, beat.from);
        let Some(record) = self.members.get_mut(beat.from) else {
            return;
        };
        let (row, handoffs) = (&self.stored.row, self.moves.handoffs());
        let set = self.grants.grant(&mut record.set, beat, row, handoffs);
        let knows_witnesses = beat.witness_generation >= row.witnesses.generation;
        let grant = Grant {
            cell: beat.cell,
            term: row.term,
            from: self.context.me,
            to: beat.from,
            sequence: beat.sequence,
            lease_ms,
            set,
            witnesses: (!knows_witnesses).then(|| row.witnesses.clone()),
            settings,
        };
        self.members.granted(now, beat.from);
        out.send(beat.from.vm, ControlMessage::Grant(grant));
    }

    /// This node's own leases end no later than its entitlement.
    fn lease_ms(&self, now: BootInstant, member: Member) -> u32 {
        let lease_ms = self.context.timing.lease_ms;
        let unbounded = self.context.planted(PlantedFault::CoordinatorUnbounded);
        if member != self.context.me || unbounded {
            return lease_ms;
        }
        let left = self.entitlement.until().saturating_since(now).as_millis();
        lease_ms.min(u32::try_from(left).unwrap_or(u32::MAX))
    }

    /// Handles a promise. Returns whether it was asked for.
    pub(crate) fn handle_promise(&mut self, now: BootInstant, promise: &Promise) -> bool {
        self.entitlement.promises().handle_promise(now, promise)
    }

    /// Handles a witness's refusal to promise. Returns whether it was asked.
    pub(crate) fn handle_seal_reply(&mut self, reply: &SealReply) -> bool {
        if !matches!(reply.outcome, SealOutcome::Sealed { .. }) || reply.term != self.term() {
            return false;
        }
        self.entitlement.promises().handle_seal(reply.sequence, reply.from)
    }

    /// An operator wants the slice that holds a position to move.
    pub(crate) fn move_slice(
        &mut self,
        now: BootInstant,
        hash: KeyHash,
        to: VmId,
        out: &mut Outbox,
    ) {
        if let Some(owner) = self.moves.order(now, &self.stored.row, &self.members, hash, to) {
            self.grants.invalidate();
            self.nudge([owner].into_iter(), out);
        }
    }

    /// Does what is due: asks witnesses, plans moves, and writes the row.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        draining: bool,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        self.entitlement.advance(now, out);
        let may_assign = now >= self.losses.office().quiet_until;
        if may_assign && self.entitlement.is_live(now) {
            self.plan(now, out);
        }
        let judged = self.judge_losses(now);
        if writer.is_idle(now) {
            self.choose_witnesses(now);
            self.write(now, draining, may_assign, &judged, writer, out);
        }
        self.plan_wakeup(now, &judged);
    }

    /// Beats only ever put off a loss, so that most events need no look at the owners.
    fn judge_losses(&mut self, now: BootInstant) -> LostOwners {
        if now < self.judge_at && !self.is_dirty {
            return LostOwners { next_at: Some(self.judge_at), ..LostOwners::default() };
        }
        let judged = self.losses.judge(now, &self.members, &self.stored.row, &self.owners);
        self.judge_at = match judged.next_at {
            Some(next_at) if judged.lost.is_empty() => next_at,
            _ => now,
        };
        judged
    }

    fn plan(&mut self, now: BootInstant, out: &mut Outbox) {
        if now < self.moves.plan_at() && !self.is_dirty {
            return;
        }
        if now >= self.moves.plan_at() {
            self.members.forget(now, |it| self.owners.contains(&it));
        }
        let concerned = self.moves.advance(now, &self.stored.row, &self.owners, &self.members);
        if !concerned.is_empty() {
            self.grants.invalidate();
            self.nudge(concerned.into_iter(), out);
        }
        self.is_dirty |= !self.moves.cuts().is_empty();
    }

    fn choose_witnesses(&mut self, now: BootInstant) {
        self.entitlement.withdraw_stale(now);
        if self.entitlement.is_changing() {
            return;
        }
        let next = self.witness_choice().next(now, self.entitlement.committed());
        if let Some(set) = next {
            self.entitlement.propose(now, set);
        }
    }

    fn witness_choice(&self) -> WitnessChoice<'_> {
        WitnessChoice {
            context: &self.context,
            members: &self.members,
            promises: self.entitlement.book(),
            office_since: self.losses.office().since,
        }
    }

    /// Writes the row if it has to change or its term is to be renewed.
    fn write(
        &mut self,
        now: BootInstant,
        draining: bool,
        may_assign: bool,
        judged: &LostOwners,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        let by_store = self.entitlement.is_by_store();
        // An unentitled coordinator might call members lost whose leases a deputy extends.
        if !by_store && !self.entitlement.is_live(now) {
            return;
        }
        if let Some(row) = self.next_term_row(now, draining) {
            return self.send_row(now, row, writer, out);
        }
        let renews = by_store && now >= self.renew_at;
        let proposes = self.entitlement.proposed_is_ready(now);
        let replaces = !judged.lost.is_empty() && !judged.waits_for_others;
        if !(renews || proposes || replaces || self.is_dirty) {
            return;
        }
        let next = self.next_row(now, may_assign, judged, proposes);
        self.is_dirty = !may_assign;
        self.moves.clear_cuts();
        if next.row == self.stored.row && !renews {
            return;
        }
        if next.assigned > 0 {
            self.losses_in_flight.clone_from(&judged.lost);
        }
        self.send_row(now, next.row, writer, out);
    }

    fn next_row(
        &self,
        now: BootInstant,
        may_assign: bool,
        judged: &LostOwners,
        proposes: bool,
    ) -> NextRow {
        let builder = RowBuilder {
            now,
            committed: &self.stored.row,
            term: self.term(),
            coordinator: self.context.me,
            members: &self.members,
            handoffs: self.moves.handoffs(),
            lost: &judged.lost,
            may_assign,
            cuts: self.moves.cuts(),
            witnesses: self.entitlement.proposed().filter(|_| proposes),
        };
        builder.build()
    }

    fn next_term_row(&self, now: BootInstant, draining: bool) -> Option<CellRow> {
        let succession = Succession {
            now,
            me: self.context.me,
            committed: &self.stored.row,
            members: &self.members,
        };
        let has_work = self.owners.contains(&self.context.me) || self.moves.handoffs().is_busy();
        if draining && !has_work && now >= self.settled_at {
            return succession.handover();
        }
        let is_stuck = !self.entitlement.is_changing()
            && self.witness_choice().needs_new_term(now, self.entitlement.committed());
        is_stuck.then(|| succession.renewal())
    }

    fn send_row(
        &mut self,
        now: BootInstant,
        row: CellRow,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        let committed = &self.stored.row;
        let has_proposed = row.witnesses.generation > committed.witnesses.generation;
        let starts_term = row.term > committed.term;
        self.entitlement.write_sent(has_proposed, starts_term);
        self.grants.write_sent(committed, &row);
        writer.start(now, Some(self.stored.version), row, out);
    }

    /// A write of this node took effect.
    pub(crate) fn write_committed(
        &mut self,
        now: BootInstant,
        stored: StoredRow,
        sent_at: BootInstant,
        out: &mut Outbox,
    ) {
        let before = std::mem::replace(&mut self.stored, stored);
        let row = &self.stored.row;
        if row.term > before.row.term {
            let witnesses = row.witnesses.clone();
            self.entitlement =
                Entitlement::new(self.context, now, row.term, witnesses, Some(sent_at));
        } else {
            self.entitlement.write_committed(now, sent_at, &row.witnesses);
        }
        self.row_changed();
        self.plan_renewal(sent_at);
        self.settled_at = now + ms(self.context.timing.beat_ms);
        self.is_dirty = true;
        self.announce(&before.row, out);
    }

    /// The pending write is ruled out.
    pub(crate) fn write_ended(&mut self) {
        self.entitlement.write_ended();
        self.grants.write_ended();
        self.losses_in_flight.clear();
        self.is_dirty = true;
    }

    fn row_changed(&mut self) {
        let row = &self.stored.row;
        self.owners = row.slices.iter().filter_map(|it| it.owner).collect();
        self.owners.sort_unstable();
        self.owners.dedup();
        self.moves.row_changed(row);
        self.judge_at = BootInstant::default();
        self.grants.write_ended();
    }

    fn plan_renewal(&mut self, written_at: BootInstant) {
        self.renew_at = written_at + ms(self.context.timing.store_term_ms) / 3;
    }

    /// Lets new owners beat at once, so that they are granted what they were assigned.
    fn announce(&mut self, before: &CellRow, out: &mut Outbox) {
        let cell = self.context.cell;
        for member in std::mem::take(&mut self.losses_in_flight) {
            out.log(OwnershipEvent::MemberLost { cell, member });
        }
        let owners = self.stored.row.owners_of_changes(before);
        if !owners.is_empty() {
            let slices = u32::try_from(owners.len()).unwrap_or(u32::MAX);
            out.log(OwnershipEvent::Assigned { cell, slices });
        }
        self.nudge(owners.into_iter(), out);
    }

    fn plan_wakeup(&mut self, now: BootInstant, judged: &LostOwners) {
        let by_store = self.entitlement.is_by_store();
        let times = [
            Some(self.moves.plan_at()),
            Some(self.settled_at),
            self.entitlement.next_wakeup(),
            judged.next_at,
            by_store.then_some(self.renew_at),
        ];
        // What is due but cannot be done now is tried again at the next event or look.
        let future = times.into_iter().flatten().filter(|it| *it > now);
        self.wakeup = future.min().unwrap_or(now + IDLE_INTERVAL);
    }
}
