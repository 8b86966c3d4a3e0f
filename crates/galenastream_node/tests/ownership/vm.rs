//! A simulated VM: its node, its target and the faults that affect it.

use galenastream_node::{ControlEvent, ControlState, HeartbeatAnswer};
use tokio::sync::oneshot;

use crate::{fixtures::address, target::Target};

pub struct Vm {
    pub state: Option<ControlState>,
    pub target: Target,
    pub pending_reply: Option<oneshot::Receiver<HeartbeatAnswer>>,
    /// Heartbeats that are delivered when the node is no longer suspended.
    pub delayed_heartbeats: Vec<ControlEvent>,
    pub starts_at_ms: u64,
    pub suspended_until_ms: u64,
    pub partitioned_until_ms: u64,
    pub store_refuses_until_ms: u64,
    pub rows_sent_at_ms: u64,
    pub rows_sent_version: u64,
    pub status_sent_at_ms: u64,
    pub replacements: u64,
}

impl Vm {
    pub fn name(&self) -> String {
        format!("vm-{}", self.target.address)
    }

    /// Stops the node, which starts again at `until_ms`.
    pub fn stop(&mut self, until_ms: u64) {
        self.state = None;
        self.pending_reply = None;
        self.delayed_heartbeats.clear();
        self.starts_at_ms = until_ms;
    }

    /// Ends the target and starts another incarnation in its place.
    pub fn replace_target(&mut self, index: usize, starts_at_ms: u64) {
        self.replacements += 1;
        let id = format!("t-{index}-{}", self.replacements);
        self.target =
            Target::new(id, address(index), self.target.clock_slow_percent, starts_at_ms + 300);
        self.pending_reply = None;
    }
}
