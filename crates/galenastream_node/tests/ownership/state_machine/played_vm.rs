//! A VM: the process of its node, its target, and what is under way between the two.

use galenastream_adapter::HeartbeatReply;
use galenastream_node::{ControlEvent, ControlState, HeartbeatAnswer, TargetProbe};
use tokio::sync::oneshot;

use super::played_target::PlayedTarget;
use crate::node_clock::NodeClock;

/// A VM. Instants in milliseconds are those until which a fault lasts.
pub struct PlayedVm {
    /// The process of the node; `None` while it is down.
    pub state: Option<ControlState>,
    pub starts_at_ms: u64,
    pub clock: NodeClock,
    pub target: PlayedTarget,
    /// Heartbeats that have stayed under way.
    pub delayed: Vec<DelayedHeartbeat>,
    pub delay_count: u32,
    pub replies: Vec<ReplyUnderWay>,
    pub reply_delay_ms: u64,
    pub lost_replies: u32,
    pub probes: Vec<ProbeUnderWay>,
    pub probe_delay_ms: u64,
    pub closed_until_ms: u64,
    pub vm_suspended_until_ms: u64,
    pub node_suspended_until_ms: u64,
    pub cut_until_ms: u64,
    pub peers_cut_until_ms: u64,
    pub store_cut_until_ms: u64,
    pub silent_until_ms: u64,
    pub next_write: WriteFate,
    /// Events that wait for a suspended node.
    pub inbox: Vec<ControlEvent>,
    pub rows_read_at_ms: u64,
    pub rows_version: u64,
    pub status_sent_at_ms: u64,
    /// When a heartbeat of the running target last arrived at the node.
    pub heard_at_ms: u64,
    pub replacements: u64,
    pub earlier_sequence: u64,
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    Answered,
    AnswerLost,
    Late { ms: u64 },
}

/// A heartbeat that has stayed under way.
pub struct DelayedHeartbeat {
    pub target_id: String,
    pub sent_ms: u64,
    pub body: Vec<u8>,
}

/// A reply that the target waits for.
pub struct ReplyUnderWay {
    pub target_id: String,
    pub sent_ms: u64,
    pub answer: oneshot::Receiver<HeartbeatAnswer>,
    /// The reply of the node and when it arrives.
    pub reply: Option<(HeartbeatReply, u64)>,
    pub is_lost: bool,
}

/// A probe whose answer is known to the process of the node that began it, but not handled.
pub struct ProbeUnderWay {
    pub due_ms: u64,
    pub began_ms: u64,
    pub probe: TargetProbe,
    /// Whether the target was running when it refused.
    pub is_live: bool,
}

impl PlayedVm {
    pub fn new(target: PlayedTarget, clock: NodeClock, starts_at_ms: u64) -> Self {
        Self {
            state: None,
            starts_at_ms,
            clock,
            target,
            delayed: Vec::new(),
            delay_count: 0,
            replies: Vec::new(),
            reply_delay_ms: 0,
            lost_replies: 0,
            probes: Vec::new(),
            probe_delay_ms: 0,
            closed_until_ms: 0,
            vm_suspended_until_ms: 0,
            node_suspended_until_ms: 0,
            cut_until_ms: 0,
            peers_cut_until_ms: 0,
            store_cut_until_ms: 0,
            silent_until_ms: 0,
            next_write: WriteFate::Answered,
            inbox: Vec::new(),
            rows_read_at_ms: 0,
            rows_version: 0,
            status_sent_at_ms: 0,
            heard_at_ms: 0,
            replacements: 0,
            earlier_sequence: 0,
        }
    }

    /// Ends the process of the node. What it waited for is lost.
    pub fn stop_node(&mut self, starts_at_ms: u64, now_ms: u64) {
        self.state = None;
        self.starts_at_ms = starts_at_ms;
        if self.replies.iter().any(|it| self.target.sent_ms == Some(it.sent_ms)) {
            self.target.give_up_heartbeat(now_ms);
        }
        self.replies.clear();
        self.probes.clear();
        self.inbox.clear();
        self.node_suspended_until_ms = 0;
        self.rows_read_at_ms = 0;
        self.rows_version = 0;
    }

    pub fn is_node_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.node_suspended_until_ms.max(self.vm_suspended_until_ms)
    }

    /// Whether the node reaches no other node.
    pub fn is_cut(&self, now_ms: u64) -> bool {
        now_ms < self.cut_until_ms.max(self.peers_cut_until_ms)
    }

    pub fn reaches_store(&self, now_ms: u64) -> bool {
        now_ms >= self.cut_until_ms.max(self.store_cut_until_ms)
    }

    /// Whether the node runs and takes messages of other nodes.
    pub fn is_reached(&self, now_ms: u64) -> bool {
        self.state.is_some() && !self.is_node_suspended(now_ms) && !self.is_cut(now_ms)
    }
}
