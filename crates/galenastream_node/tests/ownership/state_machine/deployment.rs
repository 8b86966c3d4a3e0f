//! Nodes with real control states, targets and a store, in virtual time.

use bytes::Bytes;
use galenastream_adapter::{Row, StoreError};
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, ProbeAnswer, TargetHealth, TargetProbe,
};
use galenastream_ranges::{Assignment, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, heartbeat_body};
use galenastream_wire::{KeyLoadRecord, SyncQuery};
use tokio::sync::oneshot;

use super::{
    played_target::{Hold, PlayedTarget},
    played_vm::{DelayedHeartbeat, PlayedVm, ProbeUnderWay, ReplyUnderWay, WriteFate},
    step::{Born, Step},
};
use crate::{
    fixtures::{address, config, config_event, settings, settings_at_start},
    injected_bug::{InjectedBug, apply_to_reply},
    node_clock::NodeClock,
};

/// The keys whose holders are checked.
pub const SAMPLE_KEYS: [u16; 6] = [0, 21_845, 21_846, 32_768, 43_690, 65_535];

const KEYS_ROW: &str = "keys/carts";
const TICK_MS: u64 = 50;
const START_MS: u64 = 100_000;

/// The time until all nodes have started and all keys are held.
const STARTUP_MS: u64 = 9_000;

const STATUS_INTERVAL_MS: u64 = 500;
const WATCH_MS: u64 = 2_000;
const PROBE_MS: u64 = 50;

/// The longest delay of a heartbeat.
const MAX_HEARTBEAT_DELAY_MS: u64 = 9_000;

/// The drifts of the clocks of nodes, each less than 1%.
const DRIFTS_PER_10_000: [i64; 3] = [90, -90, 50];

/// What a target can process, and the load of each part of the holds of an overloaded one.
const CAPACITY_MILLI_PER_S: u64 = 100_000;
const BUSY_MILLI_PER_S: u64 = 20_000;

/// A write that is to take effect.
struct Write {
    vm: usize,
    due_ms: u64,
    expected_version: u64,
    assignment: Box<Assignment>,
    is_answered: bool,
}

/// The last holder of a key and its fencing token.
type LastHolder = Option<(String, u64)>;

pub struct Deployment {
    now_ms: u64,
    vms: Vec<PlayedVm>,
    row: Option<(Bytes, u64)>,
    version: u64,
    writes: Vec<Write>,
    last_holders: [LastHolder; SAMPLE_KEYS.len()],
    bug: InjectedBug,
    /// The first broken rule.
    pub violation: Option<String>,
}

impl Deployment {
    /// Starts a deployment, and waits until all keys are held.
    pub fn start(vm_count: usize, bug: InjectedBug) -> Self {
        let mut vms = Vec::new();
        for index in 0..vm_count {
            let starts_at_ms = START_MS + 50 * index as u64;
            let id = format!("t-{index}-0");
            let slow_percent = [2, 0, 1][index % 3];
            let target = PlayedTarget::new(
                id,
                Some(1_000_000),
                address(index),
                slow_percent,
                starts_at_ms + 50,
            );
            let drift_per_10_000 = DRIFTS_PER_10_000[index % DRIFTS_PER_10_000.len()];
            let clock = NodeClock { offset_ms: 10_000 * index as u64, drift_per_10_000 };
            vms.push(PlayedVm::new(target, clock, starts_at_ms));
        }
        let mut deployment = Self {
            now_ms: START_MS,
            vms,
            row: None,
            version: 1,
            writes: Vec::new(),
            last_holders: Default::default(),
            bug,
            violation: None,
        };
        deployment.pass(STARTUP_MS);
        deployment
    }

    /// The number of sample keys that a target holds.
    pub fn held_count(&self) -> usize {
        let is_held = |key: &u16| self.vms.iter().any(|it| it.target.holds_key(*key, self.now_ms));
        SAMPLE_KEYS.iter().filter(|it| is_held(it)).count()
    }

    pub fn run(&mut self, step: Step) {
        let now_ms = self.now_ms;
        match step {
            Step::Pass { ms } => self.pass(ms),
            Step::DelayHeartbeats { vm, count } => self.vm(vm).delay_count = count,
            Step::DeliverDelayed { vm, pick } => self.deliver_delayed(vm, pick),
            Step::EarlierTarget { vm, born } => self.send_of_earlier_target(vm, born),
            Step::DelayReplies { vm, ms } => self.vm(vm).reply_delay_ms = ms,
            Step::LoseReplies { vm, count } => self.vm(vm).lost_replies = count,
            Step::CloseListener { vm, ms } => self.vm(vm).closed_until_ms = now_ms + ms,
            Step::DelayProbes { vm, ms } => self.vm(vm).probe_delay_ms = ms,
            Step::RestartNode { vm, ms } => self.vm(vm).stop_node(now_ms + ms, now_ms),
            Step::ReplaceTarget { vm, ms, born } => self.replace_target(vm, ms, born),
            Step::Deregister { vm } => self.deregister(vm),
            Step::Overload { vm } => self.overload(vm),
            Step::SuspendVm { vm, ms } => self.vm(vm).vm_suspended_until_ms = now_ms + ms,
            Step::SuspendNode { vm, ms } => self.vm(vm).node_suspended_until_ms = now_ms + ms,
            Step::CutNode { vm, ms } => self.vm(vm).cut_until_ms = now_ms + ms,
            Step::CutPeers { vm, ms } => self.vm(vm).peers_cut_until_ms = now_ms + ms,
            Step::CutStore { vm, ms } => self.vm(vm).store_cut_until_ms = now_ms + ms,
            Step::MissRows { vm, ms } => self.vm(vm).silent_until_ms = now_ms + ms,
            Step::DelayWrite { vm, ms } => self.vm(vm).next_write = WriteFate::Late { ms },
            Step::LoseAnswer { vm } => self.vm(vm).next_write = WriteFate::AnswerLost,
        }
    }

    fn vm(&mut self, vm: usize) -> &mut PlayedVm {
        let count = self.vms.len();
        &mut self.vms[vm % count]
    }

    fn pass(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms && self.violation.is_none() {
            self.now_ms += TICK_MS;
            self.complete_writes();
            for index in 0..self.vms.len() {
                self.step_target(index);
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if now_ms < vm.vm_suspended_until_ms {
            return;
        }
        if vm.state.is_none() && now_ms >= vm.starts_at_ms {
            let settings = settings_at_start(settings(index), now_ms - START_MS);
            vm.state = Some(ControlState::new(settings, vm.clock.at(now_ms)));
            let config = config_event(config());
            self.send(index, config);
        }
        let vm = &mut self.vms[index];
        if vm.state.is_none() || vm.is_node_suspended(now_ms) {
            return;
        }
        for event in std::mem::take(&mut vm.inbox) {
            self.send(index, event);
        }
        self.report_probes(index);
        self.read_store(index);
        self.send_status(index);
        let clock = self.vms[index].clock;
        if let Some(state) = &mut self.vms[index].state {
            let effects = state.tick(clock.at(now_ms));
            self.execute(index, effects);
        }
    }

    fn step_target(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if now_ms < vm.vm_suspended_until_ms {
            return;
        }
        vm.target.advance(now_ms);
        self.receive_replies(index);
        let vm = &mut self.vms[index];
        let Some(body) = vm.target.next_heartbeat(now_ms) else {
            return;
        };
        let target_id = vm.target.id.clone();
        if vm.delay_count > 0 {
            vm.delay_count -= 1;
            vm.delayed.push(DelayedHeartbeat { target_id, sent_ms: now_ms, body });
            return;
        }
        // A node that is down refuses the connection.
        if vm.state.is_none() {
            return;
        }
        self.deliver(index, target_id, now_ms, body);
    }

    /// Delivers a heartbeat, also to a suspended node, which reads it afterwards.
    fn deliver(&mut self, index: usize, target_id: String, sent_ms: u64, body: Vec<u8>) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let (sender, answer) = oneshot::channel();
        let is_lost = vm.lost_replies > 0;
        vm.lost_replies = vm.lost_replies.saturating_sub(1);
        if target_id == vm.target.id {
            vm.heard_at_ms = now_ms;
        }
        vm.replies.push(ReplyUnderWay {
            target_id: target_id.clone(),
            sent_ms,
            answer,
            reply: None,
            is_lost,
        });
        let event = ControlEvent::Heartbeat { target_id, body: body.into(), answer: sender };
        self.send_or_queue(index, event);
    }

    fn deliver_delayed(&mut self, vm: usize, pick: usize) {
        let now_ms = self.now_ms;
        let index = vm % self.vms.len();
        let vm = &mut self.vms[index];
        vm.delayed.retain(|it| it.sent_ms + MAX_HEARTBEAT_DELAY_MS > now_ms);
        if vm.delayed.is_empty() || vm.state.is_none() {
            return;
        }
        let heartbeat = vm.delayed.remove(pick % vm.delayed.len());
        self.deliver(index, heartbeat.target_id, heartbeat.sent_ms, heartbeat.body);
    }

    fn send_of_earlier_target(&mut self, vm: usize, born: Born) {
        let index = vm % self.vms.len();
        let vm = &mut self.vms[index];
        if vm.state.is_none() {
            return;
        }
        vm.earlier_sequence += 1;
        let body = heartbeat_body(HeartbeatFields {
            address: &address(index),
            service: "carts",
            slots: 8,
            sequence: 70 + vm.earlier_sequence,
            held: &[],
            released: &[],
            born_ms: born.of_other(vm.target.born_ms),
        });
        let (sender, _) = oneshot::channel();
        let target_id = format!("e-{index}");
        let event =
            ControlEvent::Heartbeat { target_id, body: body.into_bytes().into(), answer: sender };
        self.send_or_queue(index, event);
    }

    fn receive_replies(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let bug = self.bug;
        let vm = &mut self.vms[index];
        let mut granted = Vec::new();
        for mut under_way in std::mem::take(&mut vm.replies) {
            if under_way.reply.is_none() {
                match under_way.answer.try_recv() {
                    Ok(HeartbeatAnswer::Reply(reply)) => {
                        under_way.reply = Some((reply, now_ms + vm.reply_delay_ms));
                    }
                    Ok(HeartbeatAnswer::Refused { reason }) => panic!("refused: {reason}"),
                    Err(oneshot::error::TryRecvError::Empty) => {}
                    Err(oneshot::error::TryRecvError::Closed) => continue,
                }
            }
            let Some((reply, due_ms)) = &under_way.reply else {
                vm.replies.push(under_way);
                continue;
            };
            if under_way.is_lost || under_way.target_id != vm.target.id {
                continue;
            }
            if now_ms < *due_ms {
                vm.replies.push(under_way);
                continue;
            }
            let reply = apply_to_reply(reply.clone(), bug);
            granted.extend(vm.target.handle_reply(&reply, under_way.sent_ms, now_ms));
        }
        for hold in granted {
            self.check_hold(index, hold);
        }
    }

    /// Checks that no other target holds the keys of a new or renewed hold.
    fn check_hold(&mut self, index: usize, hold: Hold) {
        let now_ms = self.now_ms;
        let id = self.vms[index].target.id.clone();
        for (sample, key) in SAMPLE_KEYS.iter().enumerate() {
            if !hold.contains(*key) || now_ms >= hold.until_ms {
                continue;
            }
            for (other, vm) in self.vms.iter().enumerate() {
                if other == index || !vm.target.holds_key(*key, now_ms) {
                    continue;
                }
                let at_ms = now_ms - START_MS - STARTUP_MS;
                let other_id = &vm.target.id;
                let violation =
                    format!("{at_ms} ms: {id} holds key {key} as well as {other_id}: {hold:?}");
                self.violation.get_or_insert(violation);
            }
            let last = &mut self.last_holders[sample];
            if let Some((last_id, fence)) = last
                && *last_id != id
                && hold.fence <= *fence
            {
                let violation = format!("{id} holds key {key} under no higher fence: {hold:?}");
                self.violation.get_or_insert(violation);
            }
            let highest = last.as_ref().map_or(0, |it| it.1).max(hold.fence);
            *last = Some((id.clone(), highest));
        }
    }

    fn replace_target(&mut self, vm: usize, ms: u64, born: Born) {
        let now_ms = self.now_ms;
        let index = vm % self.vms.len();
        let vm = &mut self.vms[index];
        vm.replacements += 1;
        let id = format!("t-{index}-{}", vm.replacements);
        let born_ms = born.of_other(vm.target.born_ms);
        vm.target = PlayedTarget::new(id, born_ms, address(index), 2, now_ms + ms);
        vm.heard_at_ms = 0;
    }

    fn deregister(&mut self, vm: usize) {
        let index = vm % self.vms.len();
        let target_id = self.vms[index].target.id.clone();
        let (answer, _) = oneshot::channel();
        self.send_or_queue(index, ControlEvent::Deregister { target_id, answer });
    }

    fn overload(&mut self, vm: usize) {
        let overloaded = vm % self.vms.len();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            let Some(state) = &mut vm.state else {
                continue;
            };
            let milli_per_s = if index == overloaded { BUSY_MILLI_PER_S } else { 0 };
            let mut loads = Vec::new();
            for hold in &vm.target.holds {
                for part in hold.parts() {
                    let (first, last) = (u32::from(part.first), u32::from(part.last));
                    loads.push(KeyLoadRecord { first, last, milli_per_s });
                }
            }
            state.set_local_load(CAPACITY_MILLI_PER_S, loads);
        }
    }

    fn read_store(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let version = self.version;
        let vm = &mut self.vms[index];
        if !vm.reaches_store(now_ms) {
            vm.rows_read_at_ms = 0;
            return self.send(index, ControlEvent::StoreReached(false));
        }
        // The watch of the config, which all nodes read.
        if now_ms.is_multiple_of(500) {
            self.send(index, ControlEvent::StoreReached(true));
        }
        let vm = &mut self.vms[index];
        let Some(state) = vm.state.as_ref().filter(|_| now_ms >= vm.silent_until_ms) else {
            return;
        };
        let is_due = vm.rows_version < version || now_ms >= vm.rows_read_at_ms + WATCH_MS;
        if !state.reads_rows(vm.clock.at(now_ms)) || !is_due {
            return;
        }
        let asked_at_ms = match vm.rows_read_at_ms {
            0 => now_ms - TICK_MS,
            read_at_ms => read_at_ms,
        };
        vm.rows_read_at_ms = now_ms;
        vm.rows_version = version;
        let rows = self.rows();
        let confirmed_at = Some(self.vms[index].clock.at(asked_at_ms));
        self.send(index, ControlEvent::Rows { rows, version, confirmed_at });
    }

    fn rows(&self) -> Vec<Row> {
        let row = self.row.as_ref().map(|(value, version)| Row {
            key: KEYS_ROW.to_owned(),
            value: Some(value.clone()),
            version: *version,
        });
        row.into_iter().collect()
    }

    fn complete_writes(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Write> = self.writes.extract_if(.., |it| now_ms >= it.due_ms).collect();
        for write in due {
            let current = self.row.as_ref().map_or(0, |it| it.1);
            let mut result = Err(StoreError::Conflict { rows: self.rows() });
            if current == write.expected_version {
                self.version += 1;
                self.row = Some((write.assignment.encode_row().into(), self.version));
                result = Ok(self.version);
            }
            if !write.is_answered {
                result = Err(StoreError::NoResponse { reason: "lost".to_owned() });
            }
            self.end_write(write.vm, write.assignment, result);
        }
    }

    fn end_write(
        &mut self,
        index: usize,
        assignment: Box<Assignment>,
        result: Result<u64, StoreError>,
    ) {
        let event = ControlEvent::Committed { service: "carts".to_owned(), assignment, result };
        self.send_or_queue(index, event);
    }

    fn start_write(&mut self, index: usize, expected_version: u64, assignment: Box<Assignment>) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if !vm.reaches_store(now_ms) {
            let lost = StoreError::NoResponse { reason: "cut".to_owned() };
            return self.end_write(index, assignment, Err(lost));
        }
        let fate = std::mem::replace(&mut vm.next_write, WriteFate::Answered);
        let delay_ms = match fate {
            WriteFate::Answered | WriteFate::AnswerLost => TICK_MS,
            WriteFate::Late { ms } => ms,
        };
        let is_answered = fate == WriteFate::Answered;
        let due_ms = now_ms + delay_ms;
        self.writes.push(Write { vm: index, due_ms, expected_version, assignment, is_answered });
    }

    fn send_status(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if now_ms < vm.status_sent_at_ms + STATUS_INTERVAL_MS || vm.is_cut(now_ms) {
            return;
        }
        vm.status_sent_at_ms = now_ms;
        let Some(status) = vm.state.as_ref().map(|it| it.status(vm.clock.at(now_ms))) else {
            return;
        };
        for other in 0..self.vms.len() {
            if other != index && self.vms[other].is_reached(now_ms) {
                self.send(other, ControlEvent::peer_status(status.clone()));
            }
        }
    }

    fn answer_sync_query(&mut self, index: usize, node: &str) {
        let now_ms = self.now_ms;
        let other = (0..self.vms.len()).find(|it| settings(*it).node_name == node);
        let is_possible =
            |it: &usize| self.vms[*it].is_reached(now_ms) && !self.vms[index].is_cut(now_ms);
        let Some(other) = other.filter(is_possible) else {
            return self.send(index, ControlEvent::PeerQueryFailed);
        };
        let other_now = self.vms[other].clock.at(now_ms);
        let Some(peer) = self.vms[other].state.as_mut() else {
            return;
        };
        let state = peer.sync_snapshot().state_for(&SyncQuery::default(), other_now);
        let asked_at = self.vms[index].clock.at(now_ms);
        self.send(index, ControlEvent::PeerSyncState { state, asked_at });
    }

    /// Sends a health check that a running target answers at once.
    fn check_health(&mut self, index: usize) {
        let vm = &self.vms[index];
        if vm.target.runs(self.now_ms) && self.now_ms >= vm.closed_until_ms {
            let (target_id, health) = (vm.target.id.clone(), TargetHealth::Ready);
            self.send(index, ControlEvent::HealthChecked { target_id, health });
        }
    }

    fn start_probe(&mut self, index: usize, target: TargetIncarnation, is_health_check: bool) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let is_live = vm.target.runs(now_ms);
        let is_listening = is_live && now_ms >= vm.closed_until_ms;
        if is_listening != is_health_check || now_ms < vm.vm_suspended_until_ms {
            return;
        }
        let answer = match is_health_check {
            true => ProbeAnswer::Identified { target_id: vm.target.id.clone() },
            false => ProbeAnswer::Refused,
        };
        let probe =
            TargetProbe { target, began_at: vm.clock.at(now_ms), answer, open_connections: 0 };
        let due_ms = now_ms + PROBE_MS + vm.probe_delay_ms;
        vm.probes.push(ProbeUnderWay { due_ms, began_ms: now_ms, probe, is_live });
    }

    /// Reports probes. A running target that refuses connections has open ones, or its heartbeats go
    /// on.
    fn report_probes(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let due: Vec<ProbeUnderWay> = vm.probes.extract_if(.., |it| now_ms >= it.due_ms).collect();
        let heard_at_ms = vm.heard_at_ms;
        for mut under_way in due {
            let is_heard = heard_at_ms >= under_way.began_ms;
            under_way.probe.open_connections = usize::from(under_way.is_live && !is_heard);
            self.send(index, ControlEvent::TargetProbed(under_way.probe));
        }
    }

    fn execute(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit { expected_version, assignment, .. } => {
                    self.start_write(index, expected_version, assignment);
                }
                Effect::QueryPeer { node } => self.answer_sync_query(index, &node),
                Effect::ProbeTarget { target } => self.start_probe(index, target, false),
                Effect::IdentifyTarget { target, .. } => self.start_probe(index, target, true),
                Effect::CheckHealth { .. } => self.check_health(index),
                // No request crashes a target here, and no target leaves.
                Effect::Settle { .. }
                | Effect::AnnounceNode
                | Effect::WriteQuarantine { .. }
                | Effect::WriteLeave { .. }
                | Effect::CallTarget { .. } => {}
            }
        }
    }

    fn send_or_queue(&mut self, index: usize, event: ControlEvent) {
        let vm = &mut self.vms[index];
        match vm.is_node_suspended(self.now_ms) {
            true => vm.inbox.push(event),
            false => self.send(index, event),
        }
    }

    fn send(&mut self, index: usize, event: ControlEvent) {
        let now_ms = self.now_ms;
        let now = self.vms[index].clock.at(now_ms);
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.handle(event, now);
        self.execute(index, effects);
    }
}

impl Born {
    /// The start of another target, compared with that of the current one.
    fn of_other(self, current_ms: Option<u64>) -> Option<u64> {
        let current_ms = current_ms.unwrap_or(0);
        match self {
            Self::Earlier => Some(current_ms - 1),
            Self::Same => Some(current_ms),
            Self::Later => Some(current_ms + 1),
        }
    }
}
