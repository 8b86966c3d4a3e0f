//! A simulated VM: its node, its target and the faults that affect it.

use galenastream_node::{ControlEvent, ControlState, HeartbeatAnswer};
use galenastream_utils::BootInstant;
use tokio::sync::oneshot;

use crate::{fixtures::address, node_clock::NodeClock, store_call::StoreCall, target::Target};

pub struct Vm {
    pub state: Option<ControlState>,
    pub target: Target,
    pub pending_reply: Option<oneshot::Receiver<HeartbeatAnswer>>,
    /// Heartbeats that are delivered when the node is no longer suspended.
    pub delayed_heartbeats: Vec<ControlEvent>,
    /// Heartbeats in transit with the time of their arrival. They outlast the node and the target.
    pub late_heartbeats: Vec<(u64, ControlEvent)>,
    pub starts_at_ms: u64,
    pub suspended_until_ms: u64,
    pub partitioned_until_ms: u64,
    pub store_refuses_until_ms: u64,
    pub rows_sent_at_ms: u64,
    pub rows_sent_version: u64,
    pub status_sent_at_ms: u64,
    pub replacements: u64,
    /// Counts the processes of the node.
    pub process: u64,
    pub clock: NodeClock,
    /// The ids and start times that targets here have reported. No two runs share both: they would be
    /// the same incarnation to every party.
    births: Vec<(String, u64)>,
    /// By how much the time of day is ahead of the virtual time.
    pub wall_offset_ms: u64,
    pub max_lease_ms: u64,
    pub store_call: Option<StoreCall>,
    /// The version up to which the process knows the rows, once it has read them.
    pub known_version: Option<u64>,
    /// Until when the store answers no watches of this VM; the history is dropped then.
    pub deaf_until_ms: u64,
    pub is_history_dropped: bool,
    /// Whether the program on this VM cannot decode rows of newer programs.
    pub is_old_program: bool,
}

impl Vm {
    /// Creates a VM whose node starts at `starts_at_ms`.
    pub fn new(target: Target, starts_at_ms: u64) -> Self {
        Self {
            state: None,
            target,
            pending_reply: None,
            delayed_heartbeats: Vec::new(),
            late_heartbeats: Vec::new(),
            starts_at_ms,
            suspended_until_ms: 0,
            partitioned_until_ms: 0,
            store_refuses_until_ms: 0,
            rows_sent_at_ms: 0,
            rows_sent_version: 0,
            status_sent_at_ms: 0,
            replacements: 0,
            process: 0,
            clock: NodeClock::default(),
            births: Vec::new(),
            wall_offset_ms: 1_700_000_000_000,
            max_lease_ms: 10_000,
            store_call: None,
            known_version: None,
            deaf_until_ms: 0,
            is_history_dropped: false,
            is_old_program: false,
        }
    }

    pub fn name(&self) -> String {
        format!("vm-{}", self.target.address)
    }

    /// The value of its boot clock at an instant of the virtual time.
    pub fn at(&self, ms: u64) -> BootInstant {
        self.clock.at(ms)
    }

    /// Whether the node handles events at `now_ms`.
    pub fn is_running(&self, now_ms: u64) -> bool {
        self.state.is_some() && now_ms >= self.suspended_until_ms
    }

    pub fn is_cut_off_from_store(&self, now_ms: u64) -> bool {
        now_ms < self.store_refuses_until_ms || now_ms < self.partitioned_until_ms
    }

    /// Stops the node, which starts again at `until_ms`.
    pub fn stop(&mut self, until_ms: u64) {
        self.state = None;
        self.pending_reply = None;
        self.delayed_heartbeats.clear();
        self.starts_at_ms = until_ms;
        self.process += 1;
        self.store_call = None;
        self.known_version = None;
    }

    /// Ends the target and starts another incarnation in its place.
    pub fn replace_target(&mut self, index: usize, starts_at_ms: u64) {
        self.replacements += 1;
        let id = format!("t-{index}-{}", self.replacements);
        self.start_target(id, address(index), starts_at_ms + 300);
    }

    /// Ends the target and starts it again under its id.
    pub fn restart_target(&mut self, starts_at_ms: u64) {
        self.replacements += 1;
        let (id, address) = (self.target.id.clone(), self.target.address.clone());
        self.start_target(id, address, starts_at_ms);
    }

    fn start_target(&mut self, id: String, address: String, starts_at_ms: u64) {
        let earlier = &self.target;
        if let Some(born_ms) = earlier.born_ms {
            self.births.push((earlier.id.clone(), born_ms));
        }
        let mut born_ms = earlier.born_ms.map(|_| self.wall_offset_ms + starts_at_ms);
        while born_ms.is_some_and(|it| self.births.contains(&(id.clone(), it))) {
            born_ms = born_ms.map(|it| it + 1);
        }
        let mut target = Target::new(id, address, earlier.clock_slow_percent, starts_at_ms);
        target.life = self.replacements;
        target.ends_work_with_lease = earlier.ends_work_with_lease;
        target.reports_keys = earlier.reports_keys;
        target.born_ms = born_ms;
        self.target = target;
        self.pending_reply = None;
    }
}
