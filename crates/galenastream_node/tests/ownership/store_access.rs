//! Reads, watches and writes of the store.

use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, Row, RowWrite, StoreError, era_of};
use galenastream_node::{ControlEvent, ControlState};
use galenastream_ranges::{Assignment, Holding, RangeEntry};
use galenastream_utils::BootInstant;
use galenastream_wire::{EraRow, SharedRowKey};
use prost::Message;
use rand::RngExt;

use crate::{
    earlier_program::rewritten,
    injected_bug::InjectedBug,
    simulation::{STEP_MS, Simulation},
    store::{ASSIGNMENT_KEY, Write, WriteContent},
    store_call::{AnswerContent, StoreAnswer, StoreCall},
    variation::Variation,
};

/// How long a watch waits for a change, in runs that do not play calls one by one.
const WATCH_MS: u64 = 2_000;
/// How much longer a node waits for the answer to a call.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The greatest age of a full read.
const MAX_READ_AGE_MS: u64 = 3_000;

/// What the store loses in a restart.
#[derive(Debug, Clone, Copy)]
pub enum StoreLoss {
    LastSeconds,
    SinceKeptCopy,
    All,
}

impl Simulation {
    /// Takes the store away for a moment, after which it is back as it was some seconds ago.
    pub fn restore_store(&mut self) {
        let lost_ms = self.rng.random_range(500..5_000);
        self.store.restore(self.now_ms - lost_ms);
        if self.bug == InjectedBug::RestoredRowsInForce {
            let value = Bytes::from(EraRow { era: self.store.era }.encode_to_vec());
            let put = RowWrite::Put { key: SharedRowKey::Era.key(), value };
            self.store.commit(&[], &[put], self.now_ms).expect("it has no conditions");
        }
        let away_until_ms = self.now_ms + self.rng.random_range(50..2_000);
        for vm in &mut self.vms {
            vm.store_refuses_until_ms = vm.store_refuses_until_ms.max(away_until_ms);
        }
    }

    /// Restarts all nodes beside their live targets, and the store without a part of its rows.
    pub fn restart_with_store(&mut self, loss: StoreLoss) {
        match loss {
            StoreLoss::LastSeconds => self.restore_store(),
            StoreLoss::SinceKeptCopy => self.store.restore_old_copy(),
            StoreLoss::All => self.store.empty(),
        }
        for vm in &mut self.vms {
            vm.stop(self.now_ms + self.rng.random_range(300..1_500));
        }
    }

    /// What a full read confirms: a process writes the row of its node when it starts, and rows that
    /// show the write are not older than that.
    fn confirmation_of_read(&self, index: usize, read_at_ms: u64) -> Option<BootInstant> {
        let vm = &self.vms[index];
        let written_ms = vm.starts_at_ms + STEP_MS;
        (read_at_ms > written_ms).then(|| vm.at(written_ms))
    }

    /// Sends the row of the store to a node, at once after a change and otherwise every 2 s.
    pub fn send_rows(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let (rows, version) = (self.store.rows(), self.store.version());
        let vm = &mut self.vms[index];
        if vm.is_cut_off_from_store(now_ms) {
            self.send_event(index, ControlEvent::StoreReached(false));
            return;
        }
        let is_due = vm.rows_sent_version < version || now_ms >= vm.rows_sent_at_ms + WATCH_MS;
        if !is_due {
            return;
        }
        let asked_at_ms = vm.rows_sent_at_ms.max(now_ms.saturating_sub(WATCH_MS));
        // After a restart of the node or a restore of the store, all rows are read again.
        let is_new_read =
            vm.rows_sent_at_ms == 0 || era_of(vm.rows_sent_version) != era_of(version);
        let confirmed_at = Some(vm.at(if is_new_read { now_ms - STEP_MS } else { asked_at_ms }));
        vm.rows_sent_at_ms = now_ms;
        vm.rows_sent_version = version;
        self.send_event(index, ControlEvent::StoreReached(true));
        self.send_event(index, ControlEvent::Rows { rows, version, confirmed_at });
    }

    /// Advances the call with which a node reads or watches the rows, or sends the next one.
    pub fn step_store_call(&mut self, index: usize) {
        if !self.is_varied() || self.vms[index].state.is_none() {
            return;
        }
        match self.vms[index].store_call.take() {
            None => self.send_store_call(index),
            Some(call) => self.advance_store_call(index, call),
        }
    }

    fn send_store_call(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &self.vms[index];
        if !vm.is_running(now_ms) {
            return;
        }
        if vm.is_cut_off_from_store(now_ms) {
            return self.send_event(index, ControlEvent::StoreReached(false));
        }
        let follows_rows = vm.known_version.is_none()
            || vm.state.as_ref().is_some_and(|it| it.reads_rows(vm.at(now_ms)));
        if self.varies(Variation::ReaderRoles) && !follows_rows {
            // The config is still watched.
            if now_ms.is_multiple_of(500) {
                self.send_event(index, ControlEvent::StoreReached(true));
            }
            return;
        }
        let arrives_at_ms = now_ms + self.varied_rng.random_range(0..=2) * STEP_MS;
        let after = vm.known_version;
        let wait = vm.state.as_ref().map_or(Duration::ZERO, ControlState::rows_watch);
        let wait_ms = wait.as_millis() as u64;
        let call = StoreCall { sent_at_ms: now_ms, after, wait_ms, arrives_at_ms, answer: None };
        self.vms[index].store_call = Some(call);
    }

    fn advance_store_call(&mut self, index: usize, mut call: StoreCall) {
        let now_ms = self.now_ms;
        let is_cut_off = self.vms[index].is_cut_off_from_store(now_ms);
        if call.answer.is_none() && !is_cut_off && now_ms >= call.arrives_at_ms {
            let arrives_at_ms = now_ms + self.varied_rng.random_range(0..=2) * STEP_MS;
            call.answer = self
                .answer_store_call(index, &call)
                .map(|content| StoreAnswer { arrives_at_ms, content });
        }
        if !self.vms[index].is_running(now_ms) {
            self.vms[index].store_call = Some(call);
            return;
        }
        let asked_at = self.vms[index].at(call.sent_at_ms);
        match call.answer {
            Some(answer) if !is_cut_off && now_ms >= answer.arrives_at_ms => {
                self.deliver_answer(index, answer.content, asked_at, call.after.is_none());
            }
            _ if now_ms >= call.sent_at_ms + call.wait_ms + CALL_TIMEOUT_MS => {
                self.send_event(index, ControlEvent::StoreReached(false));
            }
            _ => self.vms[index].store_call = Some(call),
        }
    }

    /// The answer of the store, or `None` if it has none yet.
    fn answer_store_call(&mut self, index: usize, call: &StoreCall) -> Option<AnswerContent> {
        let now_ms = self.now_ms;
        let version = self.store.version();
        let Some(after) = call.after else {
            self.vms[index].is_history_dropped = false;
            let age_ms = match self.varies(Variation::OutdatedReads) {
                true => self.varied_rng.random_range(0..=MAX_READ_AGE_MS),
                false => 0,
            };
            let (rows, version) = match age_ms {
                0 => (self.store.rows(), version),
                _ => self.store.rows_at(now_ms.saturating_sub(age_ms)),
            };
            let read_at_ms = now_ms.saturating_sub(age_ms);
            return Some(AnswerContent::Rows { rows, version, read_at_ms });
        };
        if now_ms < self.vms[index].deaf_until_ms {
            return None;
        }
        if self.vms[index].is_history_dropped || era_of(after) != era_of(version) {
            return Some(AnswerContent::HistoryDropped);
        }
        let is_over = now_ms >= call.sent_at_ms + call.wait_ms;
        if version <= after && !is_over {
            return None;
        }
        let rows = self.store.changes_after(after);
        Some(AnswerContent::Rows { rows, version, read_at_ms: now_ms })
    }

    fn deliver_answer(
        &mut self,
        index: usize,
        content: AnswerContent,
        asked_at: BootInstant,
        is_full_read: bool,
    ) {
        match content {
            AnswerContent::HistoryDropped => self.vms[index].known_version = None,
            AnswerContent::Rows { rows, version, read_at_ms } => {
                self.vms[index].known_version = Some(version);
                if is_full_read && self.varies(Variation::OutdatedReads) {
                    self.cut_off_after_read(index);
                }
                self.send_event(index, ControlEvent::StoreReached(true));
                let rows = self.rows_as_read(index, rows);
                let confirmed_at = match is_full_read {
                    true => self.confirmation_of_read(index, read_at_ms),
                    false => Some(asked_at),
                };
                self.send_event(index, ControlEvent::Rows { rows, version, confirmed_at });
            }
        }
    }

    /// Cuts a VM off after one in three full reads, before it can watch for what has changed since.
    fn cut_off_after_read(&mut self, index: usize) {
        if !self.are_faults_over && self.varied_rng.random_range(0..3) == 0 {
            let lasts_ms = self.varied_rng.random_range(10_000..18_000);
            self.vms[index].partitioned_until_ms = self.now_ms + lasts_ms;
        }
    }

    /// The rows as the program on a VM reads them.
    pub fn rows_as_read(&self, index: usize, mut rows: Vec<Row>) -> Vec<Row> {
        if !self.vms[index].is_old_program {
            return rows;
        }
        if self.bug == InjectedBug::SkippedRows {
            rows.retain(|it| !self.store.is_unreadable(&it.key, it.version));
        }
        for row in rows.iter_mut().filter(|it| self.store.is_unreadable(&it.key, it.version)) {
            row.value = row.value.as_ref().map(|_| Bytes::from_static(b"\xff\xff"));
        }
        rows
    }

    pub fn complete_writes(&mut self) {
        let due: Vec<Write> = self.writes.extract_if(.., |it| it.at_ms <= self.now_ms).collect();
        for mut write in due {
            if self.bug == InjectedBug::DepartureFromFirstSight
                && let WriteContent::Assignment(assignment) = &mut write.content
            {
                self.first_sights.complete_old_moves(assignment, self.now_ms);
            }
            self.drop_new_fields(&mut write);
            let writes = write.content.row_writes(self.bug);
            let result = self.store.commit(&write.expected, &writes, self.now_ms);
            self.make_unreadable(&write, result.is_ok());
            if result.is_ok() && self.varies(Variation::DriftingClocks) && !self.are_faults_over {
                self.cut_off_leaving(&write);
            }
            let result = match (write.is_answered, result) {
                (true, Err(StoreError::Conflict { rows })) => {
                    Err(StoreError::Conflict { rows: self.rows_as_read(write.vm, rows) })
                }
                (true, result) => result,
                (false, _) => Err(StoreError::NoResponse { reason: "lost".to_owned() }),
            };
            let event = match write.content {
                WriteContent::Settlement(_) => ControlEvent::Settled { result },
                WriteContent::Assignment(assignment) => {
                    ControlEvent::Committed { service: "carts".to_owned(), assignment, result }
                }
            };
            self.send_result(write.vm, write.process, event);
        }
    }

    /// Cuts off one in three VMs when its keys begin to move, so that all leases have to end by the
    /// clocks.
    fn cut_off_leaving(&mut self, write: &Write) {
        let WriteContent::Assignment(assignment) = &write.content else {
            return;
        };
        for index in 0..self.vms.len() {
            let is_leaving = |it: &RangeEntry| {
                let to = matches!(it.holding, Holding::Leaving { to: Some(_), .. });
                let from = it.holding.leaving_owner();
                to && from.is_some_and(|it| *it.target.id == self.vms[index].target.id)
            };
            let is_candidate = index != write.vm
                && self.now_ms >= self.vms[index].partitioned_until_ms
                && assignment.entries().iter().any(is_leaving);
            if is_candidate && self.varied_rng.random_range(0..3) == 0 {
                let lasts_ms = self.varied_rng.random_range(13_000..18_000);
                self.vms[index].partitioned_until_ms = self.now_ms + lasts_ms;
            }
        }
    }

    /// Whether a program of an earlier version makes a change, which is so with a chance of one in
    /// `one_in`.
    fn is_by_earlier_program(&mut self, one_in: u64) -> bool {
        self.varies(Variation::EarlierPrograms)
            && !self.are_faults_over
            && self.varied_rng.random_range(0..one_in) == 0
    }

    fn drop_new_fields(&mut self, write: &mut Write) {
        if !self.is_by_earlier_program(3) {
            return;
        }
        if let WriteContent::Assignment(assignment) = &mut write.content {
            **assignment = rewritten(assignment);
        }
    }

    /// Writes the assignment again, about every 5 s, as a program of an earlier version does that
    /// changes something else in it.
    pub fn rewrite_by_earlier_program(&mut self) {
        if !self.is_by_earlier_program(5_000 / STEP_MS) {
            return;
        }
        let rows = self.store.rows();
        let row = rows.iter().find(|it| it.key == ASSIGNMENT_KEY);
        let Some(value) = row.and_then(|it| it.value.as_deref()) else {
            return;
        };
        let assignment = Assignment::decode_row(value).expect("it can be decoded");
        let value = Bytes::from(rewritten(&assignment).encode_row());
        let put = RowWrite::Put { key: ASSIGNMENT_KEY.to_owned(), value };
        self.store.commit(&[], &[put], self.now_ms).expect("it has no conditions");
    }

    /// While the programs are being replaced, the new ones write rows that the old ones cannot
    /// decode.
    fn make_unreadable(&mut self, write: &Write, is_written: bool) {
        let is_new = self.varies(Variation::UnreadableRows) && !self.vms[write.vm].is_old_program;
        if is_new && is_written && self.now_ms < self.unreadable_until_ms {
            self.store.make_unreadable();
        }
    }

    /// Writes the assignment in the old form once the replacement is given up.
    pub fn make_readable(&mut self) {
        if self.varies(Variation::UnreadableRows) && self.now_ms >= self.unreadable_until_ms {
            self.store.rewrite_unreadable(self.now_ms);
        }
    }

    pub fn start_assignment(
        &mut self,
        index: usize,
        version: u64,
        assignment: Box<Assignment>,
        era_version: Option<u64>,
    ) {
        if self.bug == InjectedBug::UncommittedChange {
            let value = Some(Bytes::from(assignment.encode_row()));
            let row = Row { key: ASSIGNMENT_KEY.to_owned(), value, version: version + 1 };
            let event = ControlEvent::Rows {
                rows: vec![row],
                version: version + 1,
                confirmed_at: Some(self.vms[index].at(self.now_ms)),
            };
            self.send_event(index, event);
        }
        let mut expected = vec![ExpectedRow { key: ASSIGNMENT_KEY.to_owned(), version }];
        expected.extend(
            era_version.map(|version| ExpectedRow { key: SharedRowKey::Era.key(), version }),
        );
        self.start_write(index, expected, WriteContent::Assignment(assignment));
    }

    pub fn start_write(&mut self, index: usize, expected: Vec<ExpectedRow>, content: WriteContent) {
        let roll = self.rng.random_range(0..20);
        let delay_ms = match roll {
            0 => self.rng.random_range(1_000..5_000),
            _ => self.rng.random_range(1..40),
        };
        let process = self.vms[index].process;
        let mut write = Write {
            vm: index,
            process,
            at_ms: self.now_ms + delay_ms,
            expected,
            content,
            is_answered: roll > 1,
        };
        if self.varies(Variation::PromptWrites) {
            write.at_ms = self.now_ms + self.varied_rng.random_range(1..40);
            write.is_answered = true;
        }
        self.writes.push(write);
    }
}
