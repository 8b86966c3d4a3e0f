//! The coordinator of a cell.

use std::time::Duration;

use crate::{
    Beat, BeatRefusal, BeatRefusalReason, BootInstant, CellRow, ControlMessage, FastSet, Grant,
    KeyHash, LiveMember, Member, Nudge, OwnershipEvent, PlantedFault, Promise, SealOutcome,
    SealReply, SettingsVersion, SliceEpoch, StoredRow, Term, VmId,
    process::{
        Context, Entitlement, GrantBook, Handoffs, Losses, LostOwners, Members, NextRow, Office,
        Outbox, PendingWrite, PlannedChange, Planner, PlannerWeights, RowBuilder, StoreWriter,
        WitnessChoice, ms,
    },
};

/// Interval between two looks at the balance of the cell.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The coordinator of a cell: answers beats, notices losses, moves slices, and writes the row.
#[derive(Debug)]
pub(crate) struct CellCoordinator {
    context: Context,
    stored: StoredRow,
    owners: Vec<Member>,
    entitlement: Entitlement,
    members: Members,
    losses: Losses,
    handoffs: Handoffs,
    grants: GrantBook,
    planner: Planner,
    cuts: Vec<PlannedChange>,
    plan_at: BootInstant,
    /// Whether the row may have to change for another reason than time.
    is_dirty: bool,
    renew_at: BootInstant,
    wakeup: Option<BootInstant>,
}

impl CellCoordinator {
    /// Takes office with the row that was committed; `written_at` if this node wrote it.
    pub(crate) fn new(
        context: Context,
        now: BootInstant,
        stored: StoredRow,
        written_at: Option<BootInstant>,
        office: Office,
        heard: Members,
    ) -> Self {
        let witnesses = stored.row.witnesses.clone();
        let mut coordinator = Self {
            context,
            owners: Vec::new(),
            entitlement: Entitlement::new(context, now, stored.row.term, witnesses, written_at),
            members: heard,
            losses: Losses::new(context, office),
            handoffs: Handoffs::default(),
            grants: GrantBook::new(context),
            planner: Planner::new(PlannerWeights, now),
            cuts: Vec::new(),
            plan_at: now + PLAN_INTERVAL,
            is_dirty: true,
            renew_at: now,
            wakeup: Some(now),
            stored,
        };
        coordinator.row_changed(written_at.unwrap_or(now));
        coordinator
    }

    pub(crate) fn term(&self) -> Term {
        self.stored.row.term
    }

    /// Until when this node may grant, and its own leases may last.
    pub(crate) fn entitled_until(&self) -> BootInstant {
        self.entitlement.until()
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        self.wakeup
    }

    /// The members that were heard of within a lease.
    pub(crate) fn live_members(&self, now: BootInstant) -> Vec<LiveMember> {
        self.members.live(now).into_iter().map(|it| it.to_live_member()).collect()
    }

    /// Asks the owners of slices and the witnesses to beat now.
    pub(crate) fn nudge_all(&self, out: &mut Outbox) {
        let witnesses = self.entitlement.committed().witnesses.iter().map(|it| it.member);
        let mut vms: Vec<_> =
            self.owners.iter().copied().chain(witnesses).map(|it| it.vm).collect();
        vms.sort_unstable();
        vms.dedup();
        for vm in vms {
            self.nudge(vm, out);
        }
    }

    fn nudge(&self, vm: VmId, out: &mut Outbox) {
        let nudge = Nudge { cell: self.context.cell, term: self.term() };
        out.send(vm, ControlMessage::Nudge(nudge));
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
        let latest = self.members.latest(beat.from.vm);
        if let Some(known) = latest.filter(|it| *it > beat.from.incarnation)
            && !self.context.planted(PlantedFault::NoIncarnationCheck)
        {
            let reason = BeatRefusalReason::OldIncarnation { known };
            let refusal = BeatRefusal { cell: beat.cell, sequence: beat.sequence, reason };
            return out.send(beat.from.vm, ControlMessage::BeatRefusal(refusal));
        }
        let before = self.members.get(beat.from).map(|it| it.is_eligible(&self.context, now));
        if !self.members.record(now, beat) {
            return;
        }
        let after = self.members.get(beat.from).map(|it| it.is_eligible(&self.context, now));
        self.is_dirty |= before != after || beat.draining;
        self.planner.record(now, &beat.loads);
        self.take_released(beat);
        if self.may_answer(now, beat, pending) {
            self.answer(now, beat, settings, out);
        }
        self.wakeup = Some(now);
    }

    fn take_released(&mut self, beat: &Beat) {
        if beat.released.is_empty() {
            return;
        }
        for id in &beat.released {
            let is_current =
                self.stored.row.slices.iter().any(|it| {
                    it.id == id.slice && it.epoch == id.epoch && it.owner == Some(beat.from)
                });
            if is_current && self.handoffs.release(*id) {
                self.is_dirty = true;
                self.grants.invalidate();
            }
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
        let row = &self.stored.row;
        let set = &mut record.set;
        let set = self.grants.grant(set, beat.from, row, &self.handoffs, beat.holding);
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
        let is_asked = self.entitlement.promises().handle_promise(now, promise);
        self.wakeup = Some(now);
        is_asked
    }

    /// Handles a witness's refusal to promise. Returns whether it was asked.
    pub(crate) fn handle_seal_reply(&mut self, now: BootInstant, reply: &SealReply) -> bool {
        if !matches!(reply.outcome, SealOutcome::Sealed { .. }) || reply.term != self.term() {
            return false;
        }
        self.wakeup = Some(now);
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
        let Some(slice) = self.stored.row.slice_at(hash) else {
            return;
        };
        let eligible = self.members.eligible(now);
        let Some(to) = eligible.iter().find(|it| it.member.vm == to).map(|it| it.member) else {
            return;
        };
        let id = SliceEpoch { slice: slice.id, epoch: slice.epoch };
        self.plan_move(id, Some(to), out);
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
        let judged = self.losses.judge(now, &self.members, &self.stored.row, &self.owners);
        if may_assign && self.entitlement.is_live(now) {
            self.plan(now, out);
        }
        if writer.is_idle(now) {
            self.choose_witnesses(now);
            self.write(now, draining, may_assign, &judged, writer, out);
        }
        self.plan_wakeup(now, &judged);
    }

    fn plan(&mut self, now: BootInstant, out: &mut Outbox) {
        self.plan_departures(now, out);
        if now < self.plan_at {
            return;
        }
        self.plan_at = now + PLAN_INTERVAL;
        self.members.forget(now, |it| self.owners.contains(&it));
        if self.handoffs.is_busy() {
            return;
        }
        let members = self.live_members(now);
        for change in self.planner.plan(now, &self.stored.row, &members) {
            match change {
                PlannedChange::Move { id, to } => self.plan_move(id, Some(to), out),
                cut => self.cuts.push(cut),
            }
        }
        self.is_dirty |= !self.cuts.is_empty();
    }

    /// Moves the slices of members that are leaving.
    fn plan_departures(&mut self, now: BootInstant, out: &mut Outbox) {
        let leaving = |it: &Member| self.members.get(*it).is_some_and(|it| it.draining);
        let leaving: Vec<_> = self.owners.iter().copied().filter(leaving).collect();
        if leaving.is_empty() || self.members.eligible(now).is_empty() {
            return;
        }
        for slice in self.stored.row.slices.clone() {
            if slice.owner.is_some_and(|it| leaving.contains(&it)) {
                self.plan_move(SliceEpoch { slice: slice.id, epoch: slice.epoch }, None, out);
            }
        }
    }

    fn plan_move(&mut self, id: SliceEpoch, to: Option<Member>, out: &mut Outbox) {
        let slices = &self.stored.row.slices;
        let slice = slices.iter().find(|it| it.id == id.slice && it.epoch == id.epoch);
        let Some(owner) = slice.and_then(|it| it.owner) else {
            return;
        };
        if to == Some(owner) || !self.handoffs.plan(id, to) {
            return;
        }
        self.grants.invalidate();
        self.nudge(owner.vm, out);
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
        self.is_dirty = false;
        self.cuts.clear();
        if next.row == self.stored.row && !renews {
            return;
        }
        self.log_losses(&next, judged, out);
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
            handoffs: &self.handoffs,
            lost: &judged.lost,
            may_assign,
            cuts: &self.cuts,
            witnesses: self.entitlement.proposed().filter(|_| proposes),
        };
        builder.build()
    }

    fn log_losses(&self, next: &NextRow, judged: &LostOwners, out: &mut Outbox) {
        let cell = self.context.cell;
        if next.assigned == 0 {
            return;
        }
        for member in &judged.lost {
            out.log(OwnershipEvent::MemberLost { cell, member: *member });
        }
    }

    /// The row that ends this term: for a successor, or with witnesses that may promise again.
    fn next_term_row(&self, now: BootInstant, draining: bool) -> Option<CellRow> {
        let is_owner = self.owners.contains(&self.context.me);
        if draining && !is_owner && !self.handoffs.is_busy() {
            return self.handover_row(now);
        }
        let is_stuck = !self.entitlement.is_changing()
            && self.witness_choice().needs_new_term(now, self.entitlement.committed());
        is_stuck.then(|| self.row_of_term(self.context.me))
    }

    fn handover_row(&self, now: BootInstant) -> Option<CellRow> {
        let live = self.members.live(now);
        let mut successors: Vec<_> =
            live.into_iter().filter(|it| !it.draining && it.member != self.context.me).collect();
        successors.sort_by_key(|it| (it.slots == 0, it.member));
        let successor = successors.first()?.member;
        Some(self.row_of_term(successor))
    }

    fn row_of_term(&self, coordinator: Member) -> CellRow {
        let mut row = self.stored.row.clone();
        row.term = Term(row.term.0 + 1);
        row.coordinator = coordinator;
        row
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

    /// A write of this node took effect, or a read showed a later row of this term.
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
        self.row_changed(sent_at);
        self.is_dirty = true;
        self.nudge_new_owners(&before.row, out);
        self.wakeup = Some(now);
    }

    /// The pending write is ruled out.
    pub(crate) fn write_ended(&mut self, now: BootInstant) {
        self.entitlement.write_ended();
        self.grants.write_ended();
        self.is_dirty = true;
        self.wakeup = Some(now);
    }

    fn row_changed(&mut self, written_at: BootInstant) {
        let row = &self.stored.row;
        self.owners = row.slices.iter().filter_map(|it| it.owner).collect();
        self.owners.sort_unstable();
        self.owners.dedup();
        self.handoffs.retain(row);
        self.grants.write_ended();
        self.renew_at = written_at + ms(self.context.timing.store_term_ms) / 3;
    }

    fn nudge_new_owners(&self, before: &CellRow, out: &mut Outbox) {
        let before: FastSet<_> =
            before.slices.iter().map(|it| (it.id, it.epoch, it.owner)).collect();
        let row = &self.stored.row;
        let changed = row.slices.iter().filter(|it| !before.contains(&(it.id, it.epoch, it.owner)));
        let changed: Vec<_> = changed.filter_map(|it| it.owner).collect();
        let slices = u32::try_from(changed.len()).unwrap_or(u32::MAX);
        let mut owners = changed;
        owners.sort_unstable();
        owners.dedup();
        for owner in owners {
            self.nudge(owner.vm, out);
        }
        if slices > 0 {
            out.log(OwnershipEvent::Assigned { cell: self.context.cell, slices });
        }
    }

    fn plan_wakeup(&mut self, now: BootInstant, judged: &LostOwners) {
        let mut wakeup = self.plan_at;
        let by_store = self.entitlement.is_by_store();
        let times =
            [self.entitlement.next_wakeup(), judged.next_at, by_store.then_some(self.renew_at)];
        for at in times.into_iter().flatten() {
            // What is due but cannot be done now is tried again at the next event or plan.
            if at > now {
                wakeup = wakeup.min(at);
            }
        }
        self.wakeup = Some(wakeup.max(now + Duration::from_millis(1)));
    }
}
