//! Nodes whose store is healthy, in virtual time: they watch the config and exchange statuses, some of
//! which are lost, and nodes stop and start.

use galenastream_node::{ConfigDoubt, ControlEvent, ControlState};
use galenastream_wire::StatusSeen;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    fixtures::{address, config, config_event, settings},
    simulation::at,
};

pub const STEP_MS: u64 = 50;
const STATUS_INTERVAL_MS: u64 = 1_000;
const STORE_DELAY_MS: u64 = 50;
const LONG_WATCH_MS: u64 = 12_000;
const READER_WATCH_MS: u64 = 2_000;
/// How long a node is a reader before it ends a long watch.
const READER_DELAY_MS: u64 = 1_500;
/// One status of this many is lost.
const LOST_STATUSES: u32 = 25;

pub struct HealthyStore {
    rng: StdRng,
    now_ms: u64,
    nodes: Vec<Node>,
    /// Calls to the store about the config.
    pub calls: usize,
    /// Doubts about the config, but for those of nodes that have just started.
    pub doubts: Vec<String>,
}

/// A node; `None` as its state while it does not run.
struct Node {
    state: Option<ControlState>,
    starts_at_ms: u64,
    ends_at_ms: u64,
    asked_at_ms: u64,
    wait_ms: u64,
    reader_since_ms: Option<u64>,
    status_sent_at_ms: u64,
}

impl HealthyStore {
    pub fn new(seed: u64, node_count: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let node = |_| Node {
            state: None,
            starts_at_ms: 1_000 + rng.random_range(0..1_200),
            ends_at_ms: u64::MAX,
            asked_at_ms: 0,
            wait_ms: 0,
            reader_since_ms: None,
            status_sent_at_ms: 0,
        };
        let nodes = (0..node_count).map(node).collect();
        Self { rng, now_ms: 1_000, nodes, calls: 0, doubts: Vec::new() }
    }

    pub fn run_for(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            self.check();
        }
    }

    /// Stops a node, with or without a notice, and starts it again.
    pub fn restart(&mut self, index: usize, is_announced: bool) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.ends_at_ms = now_ms + if is_announced { 2_600 } else { 0 };
        node.starts_at_ms = node.ends_at_ms + 3_500;
        if let Some(state) = node.state.as_mut().filter(|_| is_announced) {
            state.handle(ControlEvent::Closing, at(now_ms));
            node.status_sent_at_ms = 0;
        }
    }

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if now_ms >= node.ends_at_ms {
            node.state = None;
            node.ends_at_ms = u64::MAX;
            node.reader_since_ms = None;
        }
        if node.state.is_none() {
            if now_ms < node.starts_at_ms {
                return;
            }
            node.state = Some(ControlState::new(settings(index), at(now_ms)));
            (node.asked_at_ms, node.wait_ms) = (now_ms, 0);
            self.calls += 1;
        }
        self.watch_config(index);
        self.send_status(index);
    }

    fn watch_config(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let Some(state) = &mut node.state else {
            return;
        };
        let is_reader = state.reads_rows(at(now_ms));
        let since_ms = node.reader_since_ms.unwrap_or(now_ms);
        node.reader_since_ms = is_reader.then_some(since_ms);
        let is_too_long =
            node.wait_ms == LONG_WATCH_MS && is_reader && now_ms - since_ms >= READER_DELAY_MS;
        let is_answered = now_ms >= node.asked_at_ms + node.wait_ms + STORE_DELAY_MS;
        if !is_answered && !is_too_long {
            return;
        }
        if is_answered {
            let asked_at = at(node.asked_at_ms);
            if node.wait_ms == 0 {
                state.handle(config_event(config()), at(now_ms));
                let rows = ControlEvent::Rows {
                    rows: Vec::new(),
                    version: 7,
                    confirmed_at: Some(asked_at),
                };
                state.handle(rows, at(now_ms));
            }
            state.handle(ControlEvent::StoreReached(true), at(now_ms));
            let confirmed_at = Some(asked_at);
            state.handle(ControlEvent::ConfigRead { stored: None, confirmed_at }, at(now_ms));
        }
        node.asked_at_ms = now_ms;
        node.wait_ms = if is_reader { READER_WATCH_MS } else { LONG_WATCH_MS };
        self.calls += 1;
    }

    fn send_status(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if now_ms < node.status_sent_at_ms + STATUS_INTERVAL_MS {
            return;
        }
        node.status_sent_at_ms = now_ms;
        let Some(status) = node.state.as_ref().map(|it| it.status(at(now_ms))) else {
            return;
        };
        for other in 0..self.nodes.len() {
            if other == index || self.rng.random_ratio(1, LOST_STATUSES) {
                continue;
            }
            let Some(state) = &mut self.nodes[other].state else {
                continue;
            };
            state.handle(ControlEvent::peer_status(status.clone()), at(now_ms));
            let seen = match state.reads_rows(at(now_ms)) {
                true => state.sync_snapshot().status_seen(at(now_ms)),
                false => StatusSeen::default(),
            };
            let node = format!("vm-{}", address(other)).into();
            let event = ControlEvent::StatusAcknowledged { node, seen, asked_at: at(now_ms) };
            if let Some(state) = &mut self.nodes[index].state {
                state.handle(event, at(now_ms));
            }
        }
    }

    fn check(&mut self) {
        let now_ms = self.now_ms;
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(state) = &node.state else {
                continue;
            };
            // Until then, the first read of the config is under way.
            let is_read = state.routing().is_some();
            match state.config_doubt(at(now_ms)) {
                Some(ConfigDoubt::Starting) | None => {}
                Some(doubt) if is_read => {
                    self.doubts.push(format!("{now_ms} ms: node {index}: {doubt:?}"));
                }
                Some(_) => {}
            }
        }
    }
}
