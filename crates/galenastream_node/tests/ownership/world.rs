//! A deployment under virtual time: nodes, targets, the store and the faults between them.

use bytes::Bytes;
use galenastream_adapter::{Row, StoreError};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_ranges::Assignment;
use galenastream_utils::BootInstant;
use galenastream_wire::SyncQuery;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::oneshot;

use crate::{
    documents::{HEARTBEAT_MS, address, config, settings},
    planted::{Planted, complete_all, tamper},
    target::Target,
    vm::Vm,
};

pub const STEP_MS: u64 = 10;
const ROW: &str = "keys/carts";
/// Keys that the judge looks at.
const SAMPLES: [u16; 9] = [0, 1, 9_000, 21_845, 21_846, 32_768, 43_690, 43_691, 65_535];

/// A write on its way to the store, and its result on the way back.
struct Write {
    vm: usize,
    at_ms: u64,
    expected: u64,
    assignment: Box<Assignment>,
    is_answered: bool,
}

pub struct World {
    rng: StdRng,
    now_ms: u64,
    vms: Vec<Vm>,
    row: Option<Bytes>,
    version: u64,
    writes: Vec<Write>,
    planted: Planted,
    highest_fences: [u64; SAMPLES.len()],
    last_holders: [Option<(String, u64)>; SAMPLES.len()],
    pub violations: Vec<String>,
    pub served_samples: u64,
}

pub fn at(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

impl World {
    pub fn new(seed: u64, vm_count: usize, planted: Planted) -> Self {
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
                open: None,
                late: Vec::new(),
                starts_at_ms,
                frozen_until_ms: 0,
                cut_until_ms: 0,
                store_refuses_until_ms: 0,
                fed_at_ms: 0,
                fed_version: 0,
                told_at_ms: 0,
                lives: 0,
            });
        }
        Self {
            rng,
            now_ms: 1_000,
            vms,
            row: None,
            version: 1,
            writes: Vec::new(),
            planted,
            highest_fences: [0; SAMPLES.len()],
            last_holders: Default::default(),
            violations: Vec::new(),
            served_samples: 0,
        }
    }

    /// Plays for a time; with faults, one comes about every second.
    pub fn play(&mut self, for_ms: u64, with_faults: bool) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            if with_faults && self.rng.random_range(0..1_000 / STEP_MS) == 0 {
                self.strike();
            }
            self.land_writes();
            for index in 0..self.vms.len() {
                self.step_vm(index);
            }
            self.judge();
        }
    }

    fn strike(&mut self) {
        let index = self.rng.random_range(0..self.vms.len());
        let lasts_ms = match self.rng.random_range(0..4) {
            // Longer than the trust in a row: keys are passed on behind the back of a cut VM.
            0 => self.rng.random_range(9_000..25_000),
            _ => self.rng.random_range(200..9_000),
        };
        let until_ms = self.now_ms + lasts_ms;
        let kind = self.rng.random_range(0..7);
        let vm = &mut self.vms[index];
        match kind {
            0 => vm.frozen_until_ms = until_ms,
            1 => vm.cut_until_ms = until_ms,
            2 => vm.store_refuses_until_ms = until_ms,
            3 => vm.stop(until_ms.min(self.now_ms + 3_000)),
            4 => vm.renew_target(index, self.now_ms),
            5 => {
                // The whole VM loses power; a new target comes with it.
                vm.stop(until_ms);
                vm.renew_target(index, until_ms);
            }
            _ => {
                for vm in &mut self.vms {
                    vm.store_refuses_until_ms = until_ms.min(self.now_ms + 9_000);
                }
            }
        }
    }

    fn land_writes(&mut self) {
        let due: Vec<Write> = self.writes.extract_if(.., |it| it.at_ms <= self.now_ms).collect();
        for write in due {
            let current = if self.row.is_some() { self.version } else { 0 };
            let result = if write.expected == current {
                self.version += 1;
                let mut assignment = write.assignment.clone();
                if self.planted == Planted::NoRelease {
                    complete_all(&mut assignment);
                }
                self.row = Some(Bytes::from(assignment.encode_row()));
                Ok(self.version)
            } else {
                Err(StoreError::Conflict { rows: self.rows() })
            };
            let result = match write.is_answered {
                true => result,
                false => Err(StoreError::NoResponse { reason: "lost".to_owned() }),
            };
            let event = ControlEvent::Committed {
                service: "carts".to_owned(),
                assignment: write.assignment,
                result,
            };
            self.tell(write.vm, event);
        }
    }

    fn rows(&self) -> Vec<Row> {
        let row = self.row.clone();
        row.map(|it| Row { key: ROW.to_owned(), value: Some(it), version: self.version })
            .into_iter()
            .collect()
    }

    fn step_vm(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if vm.state.is_none() && now_ms >= vm.starts_at_ms {
            vm.state = Some(ControlState::new(settings(index), at(now_ms)));
            vm.fed_version = 0;
            vm.fed_at_ms = 0;
            self.tell(
                index,
                ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() },
            );
        }
        self.step_target(index);
        if self.vms[index].state.is_none() || now_ms < self.vms[index].frozen_until_ms {
            return;
        }
        for late in std::mem::take(&mut self.vms[index].late) {
            self.tell(index, late);
        }
        self.feed(index);
        self.gossip(index);
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.tick(at(now_ms));
        self.carry_out(index, effects);
    }

    fn step_target(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let work_ms = self.rng.random_range(0..150);
        let planted = self.planted;
        let vm = &mut self.vms[index];
        vm.target.pass(now_ms);
        if vm.target.sent_at_ms.is_none() {
            vm.open = None;
        }
        let is_answering = vm.state.is_some() && now_ms >= vm.frozen_until_ms;
        if is_answering && let Some(open) = &mut vm.open {
            match open.try_recv() {
                Ok(HeartbeatAnswer::Reply(reply)) => {
                    vm.open = None;
                    vm.target.take_reply(&tamper(reply, planted), now_ms, work_ms);
                }
                Ok(HeartbeatAnswer::Refused { reason }) => panic!("refused: {reason}"),
                Err(_) => {}
            }
        }
        let Some(body) = vm.target.beat(now_ms, HEARTBEAT_MS) else {
            return;
        };
        let (answer, open) = oneshot::channel();
        vm.open = Some(open);
        let target_id = vm.target.id.clone();
        let heartbeat = ControlEvent::Heartbeat { target_id, body: body.into(), answer };
        match is_answering {
            true => self.tell(index, heartbeat),
            false if vm.state.is_some() => vm.late.push(heartbeat),
            false => {}
        }
    }

    /// Shows a node the store's row, at once after a change and every two seconds without one.
    fn feed(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let (rows, version) = (self.rows(), self.version);
        let vm = &mut self.vms[index];
        if now_ms < vm.store_refuses_until_ms || now_ms < vm.cut_until_ms {
            self.tell(index, ControlEvent::StoreReached(false));
            return;
        }
        let is_due = vm.fed_version < version || now_ms >= vm.fed_at_ms + 2_000;
        if !is_due {
            return;
        }
        let asked_at_ms = vm.fed_at_ms.max(now_ms.saturating_sub(2_000));
        let confirmed_at = at(if vm.fed_at_ms == 0 { now_ms - STEP_MS } else { asked_at_ms });
        vm.fed_at_ms = now_ms;
        vm.fed_version = version;
        self.tell(index, ControlEvent::StoreReached(true));
        self.tell(index, ControlEvent::Rows { rows, version, confirmed_at });
    }

    fn gossip(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if now_ms < self.vms[index].told_at_ms + 500 || now_ms < self.vms[index].cut_until_ms {
            return;
        }
        self.vms[index].told_at_ms = now_ms;
        let Some(status) = self.vms[index].state.as_ref().map(|it| it.status(at(now_ms))) else {
            return;
        };
        for other in 0..self.vms.len() {
            let vm = &self.vms[other];
            let is_reached = now_ms >= vm.cut_until_ms && now_ms >= vm.frozen_until_ms;
            if other != index && is_reached {
                self.tell(other, ControlEvent::PeerStatus(status.clone()));
            }
        }
    }

    fn tell(&mut self, index: usize, event: ControlEvent) {
        let now_ms = self.now_ms;
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.handle(event, at(now_ms));
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit { expected_version, assignment, .. } => {
                    self.write(index, expected_version, assignment);
                }
                Effect::QueryPeer { node } => self.answer_question(index, &node),
                Effect::ProbeTarget => {}
                Effect::IdentifyTarget { .. } => self.identify(index),
            }
        }
    }

    /// The target that listens beside a node says who it is, whatever heartbeats are on their way.
    fn identify(&mut self, index: usize) {
        let target = &self.vms[index].target;
        if self.now_ms < target.starts_at_ms {
            return;
        }
        let target_id = target.id.clone();
        self.tell(index, ControlEvent::TargetIdentified { target_id });
    }

    fn write(&mut self, index: usize, expected: u64, assignment: Box<Assignment>) {
        if self.planted == Planted::UnwrittenChange {
            let value = Some(Bytes::from(assignment.encode_row()));
            let row = Row { key: ROW.to_owned(), value, version: expected + 1 };
            let event = ControlEvent::Rows {
                rows: vec![row],
                version: expected + 1,
                confirmed_at: at(self.now_ms),
            };
            self.tell(index, event);
        }
        let fate = self.rng.random_range(0..20);
        let delay_ms = match fate {
            0 => self.rng.random_range(1_000..5_000),
            _ => self.rng.random_range(1..40),
        };
        let at_ms = self.now_ms + delay_ms;
        self.writes.push(Write { vm: index, at_ms, expected, assignment, is_answered: fate > 1 });
    }

    fn answer_question(&mut self, index: usize, node: &str) {
        let other = self.vms.iter().position(|it| it.name() == node);
        let Some(other) = other.filter(|it| self.now_ms >= self.vms[*it].cut_until_ms) else {
            return;
        };
        let is_frozen = self.now_ms < self.vms[other].frozen_until_ms;
        let Some(state) = self.vms[other].state.as_mut().filter(|_| !is_frozen) else {
            return;
        };
        let known = state.sync_snapshot().state_for(&SyncQuery::default(), at(self.now_ms));
        let event =
            ControlEvent::PeerSyncState { state: known, asked_at: at(self.now_ms - STEP_MS) };
        self.tell(index, event);
    }

    fn judge(&mut self) {
        for (sample, key) in SAMPLES.iter().enumerate() {
            let mut holders = Vec::new();
            for vm in &self.vms {
                if let Some(fence) = vm.target.fence_of(*key, self.now_ms) {
                    holders.push((vm.target.id.clone(), fence));
                }
            }
            let is_worked_on = self.vms.iter().any(|it| it.target.works_on(*key));
            if holders.len() > 1 || (is_worked_on && !holders.is_empty()) {
                self.report(&format!("key {key} is held twice: {holders:?}"));
            }
            let Some(holder) = holders.into_iter().next() else {
                continue;
            };
            self.served_samples += 1;
            let last = &self.last_holders[sample];
            let is_other = last.as_ref().is_some_and(|it| it.0 != holder.0);
            if is_other && holder.1 <= self.highest_fences[sample] {
                self.report(&format!("key {key} has no higher fence: {holder:?}"));
            }
            self.highest_fences[sample] = self.highest_fences[sample].max(holder.1);
            self.last_holders[sample] = Some(holder);
        }
    }

    fn report(&mut self, violation: &str) {
        self.violations.push(format!("{} ms: {violation}", self.now_ms));
    }
}
