//! Messages between nodes: statuses, sync queries and their answers.

use galenastream_adapter::StoreError;
use galenastream_node::ControlEvent;
use galenastream_wire::{SyncQuery, SyncState};
use rand::RngExt;

use crate::{
    simulation::{STEP_MS, Simulation},
    variation::Variation,
};

const STATUS_INTERVAL_MS: u64 = 500;
const QUERY_TIMEOUT_MS: u64 = 1_200;
/// The longest time that a message is in transit, except for one in ten.
const MESSAGE_DELAY_MS: u64 = 50;
const SLOW_MESSAGE_DELAY_MS: u64 = 1_000;

/// An event in transit to a process of a node.
pub struct Message {
    pub to: usize,
    pub process: u64,
    pub at_ms: u64,
    pub event: ControlEvent,
}

/// A sync query of a process of a node.
pub struct PeerQuery {
    pub from: usize,
    pub process: u64,
    pub to: usize,
    pub sent_at_ms: u64,
    pub arrives_at_ms: u64,
    /// The answer with the time of its arrival.
    pub answer: Option<(u64, SyncState)>,
}

impl Simulation {
    pub fn send_status(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if now_ms < vm.status_sent_at_ms + STATUS_INTERVAL_MS || now_ms < vm.partitioned_until_ms {
            return;
        }
        vm.status_sent_at_ms = now_ms;
        let Some(status) = vm.state.as_ref().map(|it| it.status(vm.at(now_ms))) else {
            return;
        };
        for other in 0..self.vms.len() {
            let vm = &self.vms[other];
            let is_reached = now_ms >= vm.partitioned_until_ms
                && (now_ms >= vm.suspended_until_ms || self.varies(Variation::ReaderRoles));
            if other == index || !is_reached {
                continue;
            }
            let event = ControlEvent::peer_status(status.clone());
            match self.varies(Variation::ReaderRoles) {
                true => self.post(other, event),
                false => self.send_event(other, event),
            }
        }
    }

    /// Puts an event for the present process of a node in transit.
    fn post(&mut self, to: usize, event: ControlEvent) {
        let at_ms = self.now_ms + self.draw_delay_ms();
        self.messages.push(Message { to, process: self.vms[to].process, at_ms, event });
    }

    fn draw_delay_ms(&mut self) -> u64 {
        match self.varied_rng.random_range(0..10) {
            0 => self.varied_rng.random_range(1..SLOW_MESSAGE_DELAY_MS),
            _ => self.varied_rng.random_range(1..MESSAGE_DELAY_MS),
        }
    }

    /// Delivers the messages that have arrived at a running node.
    pub fn deliver_messages(&mut self, index: usize) {
        let (now_ms, process) = (self.now_ms, self.vms[index].process);
        self.messages.retain(|it| it.to != index || it.process == process);
        let is_due = |it: &mut Message| it.to == index && it.at_ms <= now_ms;
        let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
        for message in due {
            self.send_event(index, message.event);
        }
    }

    /// Sends the result of a write to the process that requested it.
    pub fn send_result(&mut self, index: usize, process: u64, event: ControlEvent) {
        if !self.is_varied() {
            return self.send_event(index, event);
        }
        let lost = || Err(StoreError::NoResponse { reason: "cut off".to_owned() });
        let event = match (event, self.vms[index].is_cut_off_from_store(self.now_ms)) {
            (ControlEvent::Committed { service, assignment, .. }, true) => {
                ControlEvent::Committed { service, assignment, result: lost() }
            }
            (ControlEvent::Settled { .. }, true) => ControlEvent::Settled { result: lost() },
            (event, _) => event,
        };
        self.messages.push(Message { to: index, process, at_ms: self.now_ms, event });
    }

    pub fn query_peer(&mut self, index: usize, node: &str) {
        if !self.varies(Variation::ReaderRoles) {
            return self.answer_at_once(index, node);
        }
        let Some(to) = self.vms.iter().position(|it| it.name() == node) else {
            return;
        };
        let arrives_at_ms = self.now_ms + self.draw_delay_ms();
        self.queries.push(PeerQuery {
            from: index,
            process: self.vms[index].process,
            to,
            sent_at_ms: self.now_ms,
            arrives_at_ms,
            answer: None,
        });
    }

    fn answer_at_once(&mut self, index: usize, node: &str) {
        let other = self.vms.iter().position(|it| it.name() == node);
        let Some(other) = other.filter(|it| self.now_ms >= self.vms[*it].partitioned_until_ms)
        else {
            return;
        };
        let Some(known) = self.sync_state(other) else {
            return;
        };
        let asked_at = self.vms[index].at(self.now_ms - STEP_MS);
        let state = self.state_as_read(index, known);
        self.send_event(index, ControlEvent::PeerSyncState { state, asked_at });
    }

    /// What a node answers to a sync query, if it runs.
    fn sync_state(&mut self, index: usize) -> Option<SyncState> {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        if !vm.is_running(now_ms) {
            return None;
        }
        let now = vm.at(now_ms);
        let state = vm.state.as_mut()?;
        Some(state.sync_snapshot().state_for(&SyncQuery::default(), now))
    }

    fn state_as_read(&self, index: usize, state: SyncState) -> SyncState {
        let is_old = self.vms[index].is_old_program;
        let mut state = state;
        for row in &mut state.rows {
            if is_old && self.store.is_unreadable(&row.key, row.version) {
                row.value = bytes::Bytes::from_static(b"\xff\xff");
            }
        }
        state
    }

    /// Advances the sync queries: their answers, and their failures after a timeout.
    pub fn answer_queries(&mut self) {
        for mut query in std::mem::take(&mut self.queries) {
            let now_ms = self.now_ms;
            if self.vms[query.from].process != query.process {
                continue;
            }
            let is_cut =
                [query.from, query.to].iter().any(|it| now_ms < self.vms[*it].partitioned_until_ms);
            if query.answer.is_none() && !is_cut && now_ms >= query.arrives_at_ms {
                let delay_ms = self.draw_delay_ms();
                query.answer = self.sync_state(query.to).map(|it| (now_ms + delay_ms, it));
            }
            if !self.vms[query.from].is_running(now_ms) {
                self.queries.push(query);
                continue;
            }
            let has_arrived = query.answer.as_ref().is_some_and(|it| it.0 <= now_ms) && !is_cut;
            if has_arrived && let Some((_, state)) = query.answer {
                let state = self.state_as_read(query.from, state);
                let asked_at = self.vms[query.from].at(query.sent_at_ms);
                self.send_event(query.from, ControlEvent::PeerSyncState { state, asked_at });
            } else if now_ms >= query.sent_at_ms + QUERY_TIMEOUT_MS {
                self.send_event(query.from, ControlEvent::PeerQueryFailed);
            } else {
                self.queries.push(query);
            }
        }
    }
}
