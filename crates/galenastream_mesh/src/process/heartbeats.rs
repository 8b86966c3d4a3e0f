//! Heartbeats of the target beside this node and the leases in their answers.

use std::cmp::Ordering;
use std::time::Duration;

use galenastream_adapter::{Grant, Heartbeat, HeartbeatReply};
use galenastream_ownership::BootInstant;
use galenastream_ranges::{Assignment, Holding, TargetIncarnation};
use tokio::sync::oneshot;

use super::control_state::ControlState;
use super::local_target::{LocalRecord, OpenHeartbeat};
use super::{HeartbeatAnswer, HeldLeases};

/// For how long a heartbeat is left open while keys are on their way to the target. Targets wait a
/// second for the answer.
const OPEN_HEARTBEAT: Duration = Duration::from_millis(700);

/// Share of the interval between heartbeats for which one is left open, in hundredths.
const OPEN_HEARTBEAT_PERCENT: u32 = 75;

impl ControlState {
    pub(super) fn take_heartbeat(
        &mut self,
        target_id: &str,
        body: &[u8],
        answer: oneshot::Sender<HeartbeatAnswer>,
        now: BootInstant,
    ) {
        let heartbeat = match Heartbeat::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return refuse(answer, target_id, error.to_string()),
        };
        if heartbeat.address != self.settings.target_address.to_string() {
            return refuse(
                answer,
                target_id,
                format!("address {} is not beside", heartbeat.address),
            );
        }
        let incarnation = TargetIncarnation::new(target_id, heartbeat.born_ms);
        if !self.accept_incarnation(&incarnation, &heartbeat, now) {
            log::info!(event = "heartbeat_outdated", target:% = incarnation, sequence = heartbeat.sequence; "");
            let acknowledged = HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged);
            return send_answer(answer, acknowledged);
        }
        let open_for = self.open_heartbeat_for();
        let Some(local) = &mut self.local else {
            return;
        };
        local.answer(HeartbeatReply::Acknowledged);
        local.update(&heartbeat, now);
        local.open_heartbeat = Some(OpenHeartbeat { answer, answer_by: now + open_for });
    }

    /// Whether a heartbeat is news of the target beside this node. Takes a new incarnation in.
    pub(super) fn accept_incarnation(
        &mut self,
        incarnation: &TargetIncarnation,
        heartbeat: &Heartbeat,
        now: BootInstant,
    ) -> bool {
        if self.ended.contains(incarnation) {
            return false;
        }
        if let Some(local) = &self.local {
            if local.incarnation == *incarnation {
                return heartbeat.sequence > local.sequence;
            }
            if !self.is_successor(local, heartbeat, now) {
                return false;
            }
            self.end_local("another incarnation started at its address");
        }
        log::info!(
            event = "target_up",
            target:% = incarnation,
            service = heartbeat.service.as_str(),
            slots = heartbeat.slots;
            ""
        );
        let inherited_end = self.terms.inherited_end(self.started_at);
        self.local = Some(LocalRecord::new(incarnation.clone(), heartbeat, inherited_end, now));
        true
    }

    /// Whether a heartbeat of another incarnation shows that the known one has ended. Where targets
    /// do not say when they were born, a delayed heartbeat of an earlier life must not look like
    /// one of a later life, so the known one has to be silent.
    pub(super) fn is_successor(
        &self,
        local: &LocalRecord,
        heartbeat: &Heartbeat,
        now: BootInstant,
    ) -> bool {
        match heartbeat.born_ms.cmp(&local.incarnation.born_ms) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => local.is_silent(now, self.silent_after() / 2),
        }
    }

    pub(super) fn take_leave(
        &mut self,
        target_id: &str,
        answer: oneshot::Sender<HeartbeatAnswer>,
        now: BootInstant,
    ) {
        match &mut self.local {
            Some(local) if &*local.incarnation.id == target_id => {
                local.leave_acknowledged_at.get_or_insert(now);
                log::info!(event = "target_leaves", target:% = local.incarnation, how = "deregister"; "");
            }
            _ => log::info!(event = "leave_of_unknown_target", target_id; ""),
        }
        send_answer(answer, HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged));
    }

    /// Answers the open heartbeat once nothing is on its way to the target, or time is up.
    pub(super) fn answer_heartbeat(&mut self, now: BootInstant) {
        let Some(local) = &self.local else {
            return;
        };
        let Some(open) = &local.open_heartbeat else {
            return;
        };
        let service = local.service.to_string();
        let is_keyed = self.is_keyed(&service);
        let record = self.assignments.get(&service).filter(|_| is_keyed);
        let awaits_keys = match record {
            Some(record) => awaits_keys(&record.assignment, local),
            None => is_keyed && self.confirmed_at.is_none(),
        };
        if awaits_keys && now < open.answer_by {
            return;
        }
        let reply = match (record, self.confirmed_at) {
            (Some(record), Some(confirmed_at)) => {
                let assignment = record.assignment.clone();
                self.lease_reply(&assignment, confirmed_at, now)
            }
            _ => HeartbeatReply::Acknowledged,
        };
        if let Some(local) = &mut self.local {
            local.answer(reply);
        }
    }

    pub(super) fn lease_reply(
        &mut self,
        assignment: &Assignment,
        confirmed_at: BootInstant,
        now: BootInstant,
    ) -> HeartbeatReply {
        let Some(lease) = self.terms.lease(confirmed_at, now) else {
            log::warn!(event = "lease_withheld", reason = "the assignment was not confirmed lately"; "");
            return HeartbeatReply::Acknowledged;
        };
        let Some(local) = &mut self.local else {
            return HeartbeatReply::Acknowledged;
        };
        let mut grants = Vec::new();
        let mut ranges = Vec::new();
        for entry in assignment.owned_by(&local.incarnation) {
            ranges.push(entry.range);
            grants.push(Grant {
                first: entry.range.first,
                last: entry.range.last,
                fence: entry.fence,
                handover: entry.handover.clone(),
            });
        }
        // The target counts from when it sent the heartbeat, so its leases end a little sooner.
        let sent_at_least = local.heard_at;
        local.granted = Some(HeldLeases::new(ranges, sent_at_least + lease));
        local.leases_end_at = local.leases_end_at.max(self.terms.lease_end(now, lease));
        let hold_ms = u64::try_from(lease.as_millis()).unwrap_or(0);
        HeartbeatReply::Leases { grants, hold_ms }
    }

    pub(super) fn open_heartbeat_for(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.heartbeat_ms);
        OPEN_HEARTBEAT.min(interval * OPEN_HEARTBEAT_PERCENT / 100)
    }
}

/// Whether keys are on their way to a target, and none are waiting to be taken from it.
fn awaits_keys(assignment: &Assignment, local: &LocalRecord) -> bool {
    let mut awaits = false;
    for entry in assignment.entries() {
        match &entry.holding {
            Holding::Leaving { from, .. } if from.target == local.incarnation => return false,
            Holding::Leaving { to: Some(to), .. } if to.target == local.incarnation => {
                awaits = true;
            }
            _ => {}
        }
    }
    let is_new = local.granted.is_none() && local.held.is_empty();
    let owns_nothing = assignment.owned_by(&local.incarnation).next().is_none();
    awaits || (is_new && owns_nothing)
}

fn refuse(answer: oneshot::Sender<HeartbeatAnswer>, target_id: &str, reason: String) {
    log::warn!(event = "heartbeat_refused", target_id, reason = reason.as_str(); "");
    send_answer(answer, HeartbeatAnswer::Refused { reason });
}

fn send_answer(answer: oneshot::Sender<HeartbeatAnswer>, reply: HeartbeatAnswer) {
    if answer.send(reply).is_err() {
        log::debug!(event = "heartbeat_abandoned"; "");
    }
}
