//! The target beside this node, as its heartbeats show it.

use std::sync::Arc;
use std::time::Duration;

use galenastream_adapter::{Heartbeat, HeartbeatReply, HeldKeys, ReleasedKeys, TargetState};
use galenastream_ranges::{KeyRange, TargetIncarnation};
use galenastream_utils::BootInstant;
use tokio::sync::oneshot;

use super::{HeartbeatAnswer, HeldLeases};

/// The target beside this node, as its heartbeats show it.
#[derive(Debug)]
pub(super) struct LocalTargetState {
    pub(super) incarnation: TargetIncarnation,
    pub(super) service: Arc<str>,
    pub(super) slots: u32,
    pub(super) sequence: u64,
    /// Heartbeats of this incarnation that this process has seen.
    pub(super) heartbeat_count: u32,
    pub(super) last_heartbeat_at: BootInstant,
    /// Whether it was asked who it is, and said so.
    pub(super) identity: Identity,
    pub(super) draining_since: Option<BootInstant>,
    pub(super) held: Vec<HeldKeys>,
    pub(super) released: Vec<ReleasedKeys>,
    /// The leases of the last reply of this process, if there was one.
    pub(super) granted: Option<HeldLeases>,
    /// When all leases have run out that were granted by this process or an earlier one.
    pub(super) leases_end_at: BootInstant,
    pub(super) pending_heartbeat: Option<PendingHeartbeat>,
}

/// What is known of who listens beside this node, apart from heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Identity {
    /// Nothing.
    Unknown,
    /// It was asked.
    Requested,
    /// The target that the heartbeats name.
    Confirmed,
}

/// A heartbeat that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingHeartbeat {
    pub(super) answer: oneshot::Sender<HeartbeatAnswer>,
    pub(super) reply_by: BootInstant,
}

/// Releases that are remembered until the keys are passed on.
const MAX_REMEMBERED_RELEASES: usize = 128;

impl LocalTargetState {
    pub(super) fn new(
        incarnation: TargetIncarnation,
        heartbeat: &Heartbeat,
        leases_end_at: BootInstant,
        now: BootInstant,
    ) -> Self {
        Self {
            incarnation,
            service: Arc::from(heartbeat.service.as_str()),
            slots: heartbeat.slots,
            sequence: 0,
            heartbeat_count: 0,
            last_heartbeat_at: now,
            identity: Identity::Unknown,
            draining_since: None,
            held: Vec::new(),
            released: Vec::new(),
            granted: None,
            leases_end_at,
            pending_heartbeat: None,
        }
    }

    pub(super) fn update(&mut self, heartbeat: &Heartbeat, now: BootInstant) {
        self.sequence = heartbeat.sequence;
        self.heartbeat_count = self.heartbeat_count.saturating_add(1);
        self.last_heartbeat_at = now;
        self.slots = heartbeat.slots;
        self.held.clone_from(&heartbeat.held);
        self.released.extend(heartbeat.released.iter().cloned());
        // A later release of the same keys replaces an earlier one; only the newest are kept.
        let surplus = self.released.len().saturating_sub(MAX_REMEMBERED_RELEASES);
        self.released.drain(..surplus);
        if heartbeat.state == TargetState::Draining && self.draining_since.is_none() {
            log::info!(event = "target_leaves", target:% = self.incarnation, how = "draining"; "");
            self.draining_since = Some(now);
        }
    }

    /// Whether the target may still hold keys of a range, or work on them.
    ///
    /// It does not if its last heartbeat leaves them out and the reply before that did too: a
    /// heartbeat alone may have crossed a reply that grants them.
    pub(super) fn may_hold(&self, range: KeyRange) -> bool {
        let Some(granted) = &self.granted else {
            return true;
        };
        let is_held = self.held.iter().any(|it| overlaps(it.first, it.last, range));
        is_held || granted.overlaps(range)
    }

    /// The handover token of a release that has all keys of a range.
    pub(super) fn handover_token(&self, range: KeyRange) -> Option<&str> {
        let release = self
            .released
            .iter()
            .rev()
            .find(|it| it.first <= range.first && range.last <= it.last)?;
        Some(&release.handover)
    }

    pub(super) fn is_silent(&self, now: BootInstant, silent_after: Duration) -> bool {
        now.saturating_since(self.last_heartbeat_at) > silent_after
    }

    /// Answers the heartbeat that is pending.
    pub(super) fn send_reply(&mut self, reply: HeartbeatReply) {
        let Some(pending) = self.pending_heartbeat.take() else {
            return;
        };
        if pending.answer.send(HeartbeatAnswer::Reply(reply)).is_err() {
            log::debug!(event = "heartbeat_abandoned", target_id = &*self.incarnation.id; "");
        }
    }
}

fn overlaps(first: u16, last: u16, range: KeyRange) -> bool {
    first <= range.last && range.first <= last
}
