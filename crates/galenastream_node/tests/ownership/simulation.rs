//! A deployment in virtual time: nodes, targets, the store and injected faults.

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, Row, RowWrite, StoreError, era_of};
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, ProbeAnswer, TargetProbe,
};
use galenastream_ranges::{Assignment, TargetIncarnation};
use galenastream_utils::BootInstant;
use galenastream_wire::{EraRow, SharedRowKey, SyncQuery};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::oneshot;

use crate::{
    fixtures::{HEARTBEAT_MS, address, config, settings},
    injected_bug::{InjectedBug, apply_to_reply},
    store::{ASSIGNMENT_KEY, Store, Write, WriteContent},
    target::Target,
    vm::Vm,
};

pub const STEP_MS: u64 = 10;
/// The keys whose holders are checked in each step.
const SAMPLE_KEYS: [u16; 9] = [0, 1, 9_000, 21_845, 21_846, 32_768, 43_690, 43_691, 65_535];

pub struct Simulation {
    rng: StdRng,
    now_ms: u64,
    vms: Vec<Vm>,
    store: Store,
    writes: Vec<Write>,
    bug: InjectedBug,
    highest_fences: [u64; SAMPLE_KEYS.len()],
    last_holders: [Option<(String, u64)>; SAMPLE_KEYS.len()],
    pub violations: Vec<String>,
    pub held_samples: u64,
}

pub fn at(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

impl Simulation {
    pub fn new(seed: u64, vm_count: usize, bug: InjectedBug) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut vms = Vec::new();
        for index in 0..vm_count {
            let starts_at_ms = 1_000 + rng.random_range(0..300);
            let id = format!("t-{index}-0");
            let target =
                Target::new(id, address(index), rng.random_range(0..=2), starts_at_ms + 50);
            vms.push(Vm {
                state: None,
                target,
                pending_reply: None,
                delayed_heartbeats: Vec::new(),
                starts_at_ms,
                suspended_until_ms: 0,
                partitioned_until_ms: 0,
                store_refuses_until_ms: 0,
                rows_sent_at_ms: 0,
                rows_sent_version: 0,
                status_sent_at_ms: 0,
                replacements: 0,
            });
        }
        Self {
            rng,
            now_ms: 1_000,
            vms,
            store: Store::new(0),
            writes: Vec::new(),
            bug,
            highest_fences: [0; SAMPLE_KEYS.len()],
            last_holders: Default::default(),
            violations: Vec::new(),
            held_samples: 0,
        }
    }

    /// Lets the store name eras, so that [`restore_store`](Self::restore_store) may be called.
    pub fn with_eras(self) -> Self {
        Self { store: Store::new(1), ..self }
    }

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

    /// Runs the simulation for a time. With faults, about one per second is injected.
    pub fn run_for(&mut self, for_ms: u64, with_faults: bool) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            if with_faults && self.rng.random_range(0..1_000 / STEP_MS) == 0 {
                self.inject_fault();
            }
            self.complete_writes();
            for index in 0..self.vms.len() {
                self.step_vm(index);
            }
            self.check_invariants();
        }
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.vms.len());
        let lasts_ms = match self.rng.random_range(0..4) {
            // Can exceed the validity of a row, so that keys of a partitioned VM are reassigned.
            0 => self.rng.random_range(9_000..25_000),
            _ => self.rng.random_range(200..9_000),
        };
        let until_ms = self.now_ms + lasts_ms;
        let fault = self.rng.random_range(0..7);
        let vm = &mut self.vms[index];
        match fault {
            0 => vm.suspended_until_ms = until_ms,
            1 => vm.partitioned_until_ms = until_ms,
            2 => vm.store_refuses_until_ms = until_ms,
            3 => vm.stop(until_ms.min(self.now_ms + 3_000)),
            4 => vm.replace_target(index, self.now_ms),
            5 => {
                // The VM loses power: its node and its target stop. The node starts again, beside a
                // new target.
                vm.stop(until_ms);
                vm.replace_target(index, until_ms);
            }
            _ => {
                for vm in &mut self.vms {
                    vm.store_refuses_until_ms = until_ms.min(self.now_ms + 9_000);
                }
            }
        }
    }

    fn complete_writes(&mut self) {
        let due: Vec<Write> = self.writes.extract_if(.., |it| it.at_ms <= self.now_ms).collect();
        for write in due {
            let writes = write.content.row_writes(self.bug);
            let result = self.store.commit(&write.expected, &writes, self.now_ms);
            let result = match write.is_answered {
                true => result,
                false => Err(StoreError::NoResponse { reason: "lost".to_owned() }),
            };
            let event = match write.content {
                WriteContent::Settlement(_) => ControlEvent::Settled { result },
                WriteContent::Assignment(assignment) => {
                    ControlEvent::Committed { service: "carts".to_owned(), assignment, result }
                }
            };
            self.send_event(write.vm, event);
        }
    }

    fn step_vm(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if vm.state.is_none() && now_ms >= vm.starts_at_ms {
            vm.state = Some(ControlState::new(settings(index), at(now_ms)));
            vm.rows_sent_version = 0;
            vm.rows_sent_at_ms = 0;
            self.send_event(
                index,
                ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() },
            );
        }
        self.step_target(index);
        if self.vms[index].state.is_none() || now_ms < self.vms[index].suspended_until_ms {
            return;
        }
        for heartbeat in std::mem::take(&mut self.vms[index].delayed_heartbeats) {
            self.send_event(index, heartbeat);
        }
        self.send_rows(index);
        self.send_status(index);
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.tick(at(now_ms));
        self.execute(index, effects);
    }

    fn step_target(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let release_delay_ms = self.rng.random_range(0..150);
        let bug = self.bug;
        let vm = &mut self.vms[index];
        vm.target.advance(now_ms);
        if vm.target.sent_at_ms.is_none() {
            vm.pending_reply = None;
        }
        let is_answering = vm.state.is_some() && now_ms >= vm.suspended_until_ms;
        if is_answering && let Some(reply) = &mut vm.pending_reply {
            match reply.try_recv() {
                Ok(HeartbeatAnswer::Reply(reply)) => {
                    vm.pending_reply = None;
                    vm.target.handle_reply(&apply_to_reply(reply, bug), now_ms, release_delay_ms);
                }
                Ok(HeartbeatAnswer::Refused { reason }) => panic!("refused: {reason}"),
                Err(_) => {}
            }
        }
        let Some(body) = vm.target.next_heartbeat(now_ms, HEARTBEAT_MS) else {
            return;
        };
        let (answer, reply) = oneshot::channel();
        vm.pending_reply = Some(reply);
        let target_id = vm.target.id.clone();
        let heartbeat = ControlEvent::Heartbeat { target_id, body: body.into(), answer };
        match is_answering {
            true => self.send_event(index, heartbeat),
            false if vm.state.is_some() => vm.delayed_heartbeats.push(heartbeat),
            false => {}
        }
    }

    /// Sends the row of the store to a node, at once after a change and otherwise every 2 s.
    fn send_rows(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let (rows, version) = (self.store.rows(), self.store.version());
        let vm = &mut self.vms[index];
        if now_ms < vm.store_refuses_until_ms || now_ms < vm.partitioned_until_ms {
            self.send_event(index, ControlEvent::StoreReached(false));
            return;
        }
        let is_due = vm.rows_sent_version < version || now_ms >= vm.rows_sent_at_ms + 2_000;
        if !is_due {
            return;
        }
        let asked_at_ms = vm.rows_sent_at_ms.max(now_ms.saturating_sub(2_000));
        // After a restart of the node or a restore of the store, all rows are read again.
        let is_new_read =
            vm.rows_sent_at_ms == 0 || era_of(vm.rows_sent_version) != era_of(version);
        let confirmed_at = Some(at(if is_new_read { now_ms - STEP_MS } else { asked_at_ms }));
        vm.rows_sent_at_ms = now_ms;
        vm.rows_sent_version = version;
        self.send_event(index, ControlEvent::StoreReached(true));
        self.send_event(index, ControlEvent::Rows { rows, version, confirmed_at });
    }

    fn send_status(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if now_ms < self.vms[index].status_sent_at_ms + 500
            || now_ms < self.vms[index].partitioned_until_ms
        {
            return;
        }
        self.vms[index].status_sent_at_ms = now_ms;
        let Some(status) = self.vms[index].state.as_ref().map(|it| it.status(at(now_ms))) else {
            return;
        };
        for other in 0..self.vms.len() {
            let vm = &self.vms[other];
            let is_reached = now_ms >= vm.partitioned_until_ms && now_ms >= vm.suspended_until_ms;
            if other != index && is_reached {
                self.send_event(other, ControlEvent::PeerStatus(status.clone()));
            }
        }
    }

    fn send_event(&mut self, index: usize, event: ControlEvent) {
        let now_ms = self.now_ms;
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.handle(event, at(now_ms));
        self.execute(index, effects);
    }

    fn execute(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit { expected_version, assignment, expected_era_version, .. } => {
                    self.start_assignment(
                        index,
                        expected_version,
                        assignment,
                        expected_era_version,
                    );
                }
                Effect::Settle { expected, writes } => {
                    self.start_write(index, expected, WriteContent::Settlement(writes));
                }
                Effect::AnnounceNode => {}
                Effect::QueryPeer { node } => self.answer_sync_query(index, &node),
                Effect::ProbeTarget { .. } => {}
                Effect::IdentifyTarget { target, .. } => self.identify(index, target),
            }
        }
    }

    /// Answers a health check with the id of the running target, even if delayed heartbeats of an
    /// earlier one are outstanding.
    fn identify(&mut self, index: usize, target: TargetIncarnation) {
        let running = &self.vms[index].target;
        if self.now_ms < running.starts_at_ms {
            return;
        }
        let probe = TargetProbe {
            target,
            began_at: at(self.now_ms),
            answer: ProbeAnswer::Identified { target_id: running.id.clone() },
            open_connections: 0,
        };
        self.send_event(index, ControlEvent::TargetProbed(probe));
    }

    fn start_assignment(
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
                confirmed_at: Some(at(self.now_ms)),
            };
            self.send_event(index, event);
        }
        let mut expected = vec![ExpectedRow { key: ASSIGNMENT_KEY.to_owned(), version }];
        expected.extend(
            era_version.map(|version| ExpectedRow { key: SharedRowKey::Era.key(), version }),
        );
        self.start_write(index, expected, WriteContent::Assignment(assignment));
    }

    fn start_write(&mut self, index: usize, expected: Vec<ExpectedRow>, content: WriteContent) {
        let roll = self.rng.random_range(0..20);
        let delay_ms = match roll {
            0 => self.rng.random_range(1_000..5_000),
            _ => self.rng.random_range(1..40),
        };
        let at_ms = self.now_ms + delay_ms;
        self.writes.push(Write { vm: index, at_ms, expected, content, is_answered: roll > 1 });
    }

    fn answer_sync_query(&mut self, index: usize, node: &str) {
        let other = self.vms.iter().position(|it| it.name() == node);
        let Some(other) = other.filter(|it| self.now_ms >= self.vms[*it].partitioned_until_ms)
        else {
            return;
        };
        let is_suspended = self.now_ms < self.vms[other].suspended_until_ms;
        let Some(state) = self.vms[other].state.as_mut().filter(|_| !is_suspended) else {
            return;
        };
        let known = state.sync_snapshot().state_for(&SyncQuery::default(), at(self.now_ms));
        let event =
            ControlEvent::PeerSyncState { state: known, asked_at: at(self.now_ms - STEP_MS) };
        self.send_event(index, event);
    }

    fn check_invariants(&mut self) {
        for (sample, key) in SAMPLE_KEYS.iter().enumerate() {
            let mut holders = Vec::new();
            for vm in &self.vms {
                if let Some(fence) = vm.target.fence_of(*key, self.now_ms) {
                    holders.push((vm.target.id.clone(), fence));
                }
            }
            let is_releasing = self.vms.iter().any(|it| it.target.is_releasing(*key));
            if holders.len() > 1 || (is_releasing && !holders.is_empty()) {
                self.record_violation(&format!("key {key} is held twice: {holders:?}"));
            }
            let Some(holder) = holders.into_iter().next() else {
                continue;
            };
            self.held_samples += 1;
            let last = &self.last_holders[sample];
            let is_other = last.as_ref().is_some_and(|it| it.0 != holder.0);
            if is_other && holder.1 <= self.highest_fences[sample] {
                self.record_violation(&format!("key {key} has no higher fence: {holder:?}"));
            }
            self.highest_fences[sample] = self.highest_fences[sample].max(holder.1);
            self.last_holders[sample] = Some(holder);
        }
    }

    fn record_violation(&mut self, violation: &str) {
        self.violations.push(format!("{} ms: {violation}", self.now_ms));
    }
}
