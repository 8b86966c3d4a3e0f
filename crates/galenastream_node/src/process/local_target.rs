//! The state of the local target as derived from its heartbeats.

use std::sync::Arc;
use std::time::Duration;

use galenastream_adapter::{Grant, Heartbeat, HeartbeatReply, HeldKeys, ReleasedKeys, TargetState};
use galenastream_ranges::{CallId, CallLeases, KeyRange, LeaseTerms, TargetIncarnation};
use galenastream_utils::BootInstant;
use tokio::sync::oneshot;

use super::cold_start::ColdStart;
use super::unseen_leave::{SteadyHeartbeats, UnseenLeave};
use super::{HeartbeatAnswer, HeldLeases, TargetHealth};

/// The state of the local target as derived from its heartbeats.
#[derive(Debug)]
pub(super) struct LocalTargetState {
    pub(super) incarnation: TargetIncarnation,
    pub(super) service: Arc<str>,
    pub(super) slots: u32,
    pub(super) sequence: u64,
    pub(super) last_heartbeat_at: BootInstant,
    /// For how long the process of the node had run when the last heartbeat arrived.
    pub(super) heard_after: Duration,
    /// Whether a health check at the target's address has confirmed its id.
    pub(super) identity: Identity,
    /// What the last health check has said.
    pub(super) health: TargetHealth,
    pub(super) draining_since: Option<BootInstant>,
    /// Whether the target may have left before this process started.
    pub(super) unseen_leave: UnseenLeave,
    pub(super) steady_heartbeats: SteadyHeartbeats,
    pub(super) cold: ColdStart,
    /// When the last heartbeat was replied to, if that was early enough for the target to wait for it:
    /// the next one was sent later.
    pub(super) replied_at: Option<BootInstant>,
    /// The keys that the last heartbeat reports as held or still being processed.
    pub(super) held: Vec<HeldKeys>,
    pub(super) released: Vec<ReleasedKeys>,
    /// The ranges that heartbeats to this process have reported as held.
    pub(super) shown_held: Vec<KeyRange>,
    /// The leases of the last [`HeartbeatReply::Leases`]; `None` if this process has sent none.
    pub(super) granted: Option<HeldLeases>,
    /// When all leases expire that this process has granted in replies.
    pub(super) replies_end_at: BootInstant,
    /// The leases that this process has granted by calls.
    pub(super) calls: CallLeases,
    /// How many heartbeats of the target are still to arrive until it is certain again that it runs,
    /// after one of another incarnation.
    pub(super) heartbeats_until_certain: u32,
    /// Whether that other incarnation had the same id.
    pub(super) is_contested_by_same_id: bool,
    pub(super) pending_heartbeat: Option<PendingHeartbeat>,
}

/// What a health check has shown about the target that listens beside this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Identity {
    /// No health check was sent.
    Unknown,
    /// A health check was sent, without a matching answer so far.
    Requested {
        /// When it was sent.
        at: BootInstant,
    },
    /// The target id of the answer equals that of the heartbeats.
    Confirmed {
        /// When the health check was sent.
        at: BootInstant,
    },
}

/// A heartbeat whose reply is delayed.
#[derive(Debug)]
pub(super) struct PendingHeartbeat {
    pub(super) answer: oneshot::Sender<HeartbeatAnswer>,
    /// When the reply is due at the latest.
    pub(super) reply_by: BootInstant,
    /// Whether it reports keys. If not, a reply must not change them.
    pub(super) reports_keys: bool,
}

/// Number of remembered releases and ranges; they are needed until the keys are handed over.
const MAX_REMEMBERED_RELEASES: usize = 128;

impl LocalTargetState {
    pub(super) fn new(
        incarnation: TargetIncarnation,
        heartbeat: &Heartbeat,
        first_call_id: CallId,
        unseen_leave: UnseenLeave,
        now: BootInstant,
    ) -> Self {
        Self {
            incarnation,
            service: Arc::from(heartbeat.service.as_str()),
            slots: heartbeat.slots,
            sequence: 0,
            last_heartbeat_at: now,
            heard_after: Duration::ZERO,
            identity: Identity::Unknown,
            health: TargetHealth::Unknown,
            draining_since: None,
            unseen_leave,
            steady_heartbeats: SteadyHeartbeats::default(),
            cold: ColdStart::default(),
            replied_at: None,
            held: Vec::new(),
            released: Vec::new(),
            shown_held: Vec::new(),
            granted: None,
            replies_end_at: now,
            calls: CallLeases::new(first_call_id),
            heartbeats_until_certain: 0,
            is_contested_by_same_id: false,
            pending_heartbeat: None,
        }
    }

    pub(super) fn update(&mut self, heartbeat: &Heartbeat, ran: Duration, now: BootInstant) {
        self.sequence = heartbeat.sequence;
        self.last_heartbeat_at = now;
        self.heard_after = ran;
        self.heartbeats_until_certain = self.heartbeats_until_certain.saturating_sub(1);
        self.slots = heartbeat.slots;
        let cold_remaining = Duration::from_millis(heartbeat.cold_remaining_ms);
        self.cold.record_heartbeat(cold_remaining, self.replied_at.take(), now);
        if let Some(keys) = &heartbeat.keys {
            self.held.clone_from(&keys.held);
            for held in &keys.held {
                self.show_held(held);
            }
            self.released.extend(keys.released.iter().cloned());
        }
        // A later release of the same keys supersedes an earlier one, so the oldest are dropped.
        let surplus = self.released.len().saturating_sub(MAX_REMEMBERED_RELEASES);
        self.released.drain(..surplus);
        if heartbeat.state == TargetState::Draining && self.draining_since.is_none() {
            log::info!(event = "target_leaves", target:% = self.incarnation, how = "draining"; "");
            self.draining_since = Some(now);
        }
    }

    fn show_held(&mut self, held: &HeldKeys) {
        let Some(range) = KeyRange::new(held.first, held.last) else {
            return;
        };
        if self.has_shown(range) {
            return;
        }
        self.shown_held.push(range);
        let surplus = self.shown_held.len().saturating_sub(MAX_REMEMBERED_RELEASES);
        self.shown_held.drain(..surplus);
    }

    /// Whether a heartbeat to this process has reported a whole range as held.
    pub(super) fn has_shown(&self, range: KeyRange) -> bool {
        self.shown_held.iter().any(|it| it.overlap(range) == Some(range))
    }

    /// Forgets the releases of keys that are granted again.
    pub(super) fn forget_releases(&mut self, grants: &[Grant]) {
        for grant in grants {
            let Some(granted) = KeyRange::new(grant.first, grant.last) else {
                continue;
            };
            let released = std::mem::take(&mut self.released);
            self.released = released.iter().flat_map(|it| remaining_parts(it, granted)).collect();
        }
    }

    /// Whether the target may still hold keys of a range, or process requests for them.
    ///
    /// This is ruled out only if neither the last heartbeat nor the last granted leases contain
    /// keys of the range: the heartbeat alone may have crossed a reply that grants them. Before the
    /// first lease reply of this process, any keys may be held.
    pub(super) fn may_hold(&self, range: KeyRange) -> bool {
        let Some(granted) = &self.granted else {
            return true;
        };
        let is_held = self.held.iter().any(|it| overlaps(it.first, it.last, range));
        is_held || granted.overlaps(range)
    }

    /// The leases that the target holds as far as this process knows.
    pub(super) fn held_leases(&self, now: BootInstant) -> HeldLeases {
        self.granted.clone().unwrap_or_default().with_calls(self.calls.held(now))
    }

    /// When all leases expire that this process has granted, in whatever way.
    pub(super) fn leases_end_at(&self, terms: LeaseTerms, now: BootInstant) -> BootInstant {
        self.replies_end_at.max(self.calls.all_end_at(terms, now))
    }

    /// The handover token of the newest release that covers a whole range.
    pub(super) fn handover_token(&self, range: KeyRange) -> Option<&str> {
        let release = self
            .released
            .iter()
            .rev()
            .find(|it| it.first <= range.first && range.last <= it.last)?;
        Some(&release.handover)
    }

    pub(super) fn is_silent(&self, now: BootInstant, heartbeat_timeout: Duration) -> bool {
        now.saturating_since(self.last_heartbeat_at) > heartbeat_timeout
    }

    /// Replies to the pending heartbeat, if there is one.
    pub(super) fn send_reply(&mut self, reply: HeartbeatReply) {
        let Some(pending) = self.pending_heartbeat.take() else {
            return;
        };
        if pending.answer.send(HeartbeatAnswer::Reply(reply)).is_err() {
            log::debug!(event = "heartbeat_abandoned", target_id = &*self.incarnation.id; "");
        }
    }
}

/// The parts of a release outside of a range.
fn remaining_parts(release: &ReleasedKeys, granted: KeyRange) -> Vec<ReleasedKeys> {
    let Some(range) = KeyRange::new(release.first, release.last) else {
        return Vec::new();
    };
    if range.overlap(granted).is_none() {
        return vec![release.clone()];
    }
    let parts = range.without(granted).into_iter().flatten();
    parts.map(|it| ReleasedKeys { first: it.first, last: it.last, ..release.clone() }).collect()
}

fn overlaps(first: u16, last: u16, range: KeyRange) -> bool {
    first <= range.last && range.first <= last
}
