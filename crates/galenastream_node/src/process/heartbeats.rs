//! Heartbeats of the local target and the leases in the replies.

use std::time::Duration;

use galenastream_adapter::{Grant, Heartbeat, HeartbeatReply, LeaseDelivery};
use galenastream_ranges::{Assignment, KeyRange, TargetIncarnation};
use galenastream_utils::BootInstant;
use tokio::sync::oneshot;

use super::control_state::ControlState;
use super::local_target::{LocalTargetState, PendingHeartbeat};
use super::ownership_log::{EndEvidence, log_foreign_holds, log_leases, millis};
use super::remembered_announcements::earliest;
use super::{HeartbeatAnswer, HeldLeases};

/// The longest delay of a reply that has nothing new for the target. Targets wait for a reply for
/// 1 s.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(700);

/// A target may have sent its next heartbeat without waiting any longer for a later reply. Less than the
/// 1 s that targets wait, for clocks that differ.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// The longest delay of such a reply, in hundredths of the heartbeat interval.
const MAX_REPLY_DELAY_PERCENT: u32 = 75;

/// Number of heartbeats of the local target after one of another incarnation that show which of them
/// runs. One alone may have been delayed.
const HEARTBEATS_UNTIL_CERTAIN: u32 = 2;

/// Number of remembered deregistrations of unknown targets.
const MAX_EARLY_DEREGISTRATIONS: usize = 16;

impl ControlState {
    pub(super) fn handle_heartbeat(
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
        if heartbeat.service != self.settings.service {
            let reason = format!("service {} is not beside", heartbeat.service);
            return refuse(answer, target_id, reason);
        }
        // A report that lacks the lists is not of the target, and says nothing of its keys.
        if heartbeat.keys.is_none() && self.takes_key_reports(&heartbeat.service) {
            return refuse(answer, target_id, "the lists of keys are missing".to_owned());
        }
        let incarnation = TargetIncarnation::new(target_id, heartbeat.born_ms);
        if !self.accept_incarnation(&incarnation, &heartbeat, now) {
            log::info!(event = "heartbeat_outdated", target:% = incarnation, sequence = heartbeat.sequence; "");
            let reply = HeartbeatAnswer::Reply(self.reply_to_outdated(&incarnation, now));
            self.release_all(&incarnation, &heartbeat.service, now);
            return send_reply(answer, reply);
        }
        let max_reply_delay = self.max_reply_delay();
        let ran = self.ran_for(now);
        let (interval, timeout) = (self.heartbeat_interval(), self.heartbeat_timeout());
        let reports_keys = heartbeat.keys.is_some();
        let Some(local) = &mut self.local else {
            return;
        };
        local.send_reply(HeartbeatReply::Acknowledged);
        local.update(&heartbeat, ran, now);
        local.steady_heartbeats.record(interval, timeout, now);
        if let Some(record) = self.assignments.get(&*local.service) {
            log_foreign_holds(local, &record.assignment, record.version);
        }
        local.pending_heartbeat =
            Some(PendingHeartbeat { answer, reply_by: now + max_reply_delay, reports_keys });
        if local.draining_since.is_some() {
            self.record_leave(&incarnation.id, Some(incarnation.born_ms), now);
        }
    }

    /// Whether the heartbeats of a service's targets have to report their keys.
    fn takes_key_reports(&self, service: &str) -> bool {
        self.holds_keys(service) && self.lease_delivery(service) == LeaseDelivery::Heartbeats
    }

    /// Handles the leave that the local target announced in a response.
    pub(super) fn handle_leave(
        &mut self,
        target: &TargetIncarnation,
        since: BootInstant,
        now: BootInstant,
    ) {
        let Some(local) = self.local.as_mut().filter(|it| it.incarnation == *target) else {
            return;
        };
        if local.draining_since.is_none() {
            log::info!(event = "target_leaves", target:% = target, how = "announced"; "");
        }
        local.draining_since = earliest(local.draining_since, Some(since));
        self.record_leave(&target.id, Some(target.born_ms), now);
    }

    /// The reply to a heartbeat that is not the next one of the local target. One that was taken for
    /// ended is told to release all keys, in case that it is not.
    fn reply_to_outdated(
        &self,
        incarnation: &TargetIncarnation,
        now: BootInstant,
    ) -> HeartbeatReply {
        match self.recently_ended(incarnation, now) {
            Some(_) => self.no_leases(),
            None => HeartbeatReply::Acknowledged,
        }
    }

    /// A reply on which a target releases all of its keys.
    const fn no_leases(&self) -> HeartbeatReply {
        let lease_ms = self.lease_terms.max_lease.as_millis() as u64;
        HeartbeatReply::Leases { grants: Vec::new(), lease_ms }
    }

    /// Returns whether a heartbeat is current for the local target. Replaces the known incarnation
    /// if that has provably ended: neither the heartbeat of another one nor its start time proves
    /// it, since heartbeats may be delayed and the time of day may be set.
    pub(super) fn accept_incarnation(
        &mut self,
        incarnation: &TargetIncarnation,
        heartbeat: &Heartbeat,
        now: BootInstant,
    ) -> bool {
        if self.recently_ended(incarnation, now).is_some() {
            return false;
        }
        if let Some(local) = &self.local {
            if local.incarnation == *incarnation {
                return heartbeat.sequence > local.sequence;
            }
            if !self.has_expired(local, now) {
                self.is_identity_wanted = true;
                if let Some(local) = &mut self.local {
                    local.heartbeats_until_certain = HEARTBEATS_UNTIL_CERTAIN;
                    local.is_contested_by_same_id = local.incarnation.id == incarnation.id;
                }
                return false;
            }
            self.end_local_target(EndEvidence::LeasesExpired, now);
        }
        log::info!(
            event = "target_up",
            target:% = incarnation,
            service = heartbeat.service.as_str(),
            slots = heartbeat.slots;
            ""
        );
        let first_call_id = self.next_call_ids();
        let unseen_leave = self.unseen_leave(now);
        let mut local =
            LocalTargetState::new(incarnation.clone(), heartbeat, first_call_id, unseen_leave, now);
        let deregistered_at = self.take_early_deregistration(&incarnation.id);
        local.draining_since = deregistered_at;
        self.local = Some(local);
        self.apply_stored_leave();
        true
    }

    /// Removes the deregistration of a target that was unknown then. It is that of its next incarnation
    /// alone: a later one may have the same id.
    fn take_early_deregistration(&mut self, target_id: &str) -> Option<BootInstant> {
        let index = self.early_deregistrations.iter().position(|(id, _)| id == target_id)?;
        Some(self.early_deregistrations.remove(index).1)
    }

    pub(super) fn handle_deregister(
        &mut self,
        target_id: &str,
        answer: oneshot::Sender<HeartbeatAnswer>,
        now: BootInstant,
    ) {
        let born_ms = match &mut self.local {
            Some(local) if &*local.incarnation.id == target_id => {
                local.draining_since.get_or_insert(now);
                log::info!(event = "target_leaves", target:% = local.incarnation, how = "deregister"; "");
                Some(local.incarnation.born_ms)
            }
            // This process may have started after the last heartbeat of the target. The
            // acknowledgement is binding nevertheless: it is applied once the target is known.
            _ => {
                log::info!(event = "leave_of_unknown_target", target_id; "");
                self.early_deregistrations.push((target_id.to_owned(), now));
                let surplus =
                    self.early_deregistrations.len().saturating_sub(MAX_EARLY_DEREGISTRATIONS);
                self.early_deregistrations.drain(..surplus);
                None
            }
        };
        self.record_leave(target_id, born_ms, now);
        self.acknowledge_leave(answer);
    }

    /// Replies to the pending heartbeat once there are changes for the target, or its reply is due.
    ///
    /// A target learns of changes of its keys only from replies. Delaying a reply without changes
    /// lets a move take two round trips instead of two heartbeat intervals.
    pub(super) fn reply_to_heartbeat(&mut self, now: BootInstant) {
        let Some(local) = &self.local else {
            return;
        };
        let Some(pending) = &local.pending_heartbeat else {
            return;
        };
        let is_due = now >= pending.reply_by;
        if !is_due && self.is_leave_unsettled(now) {
            return;
        }
        let service = local.service.to_string();
        let reply = match (self.assignments.get(&service), self.confirmed_at) {
            // Nothing is known of the keys: the lists were missing, perhaps before the first config.
            _ if !pending.reports_keys => HeartbeatReply::Acknowledged,
            _ if !self.holds_keys(&service) => HeartbeatReply::Acknowledged,
            _ if self.lease_delivery(&service) != LeaseDelivery::Heartbeats => {
                HeartbeatReply::Acknowledged
            }
            (Some(record), _) if self.is_cancelling_moves(local, record) => match is_due {
                true => HeartbeatReply::Acknowledged,
                false => return,
            },
            (Some(record), _) if record.unreadable_version.is_some() => {
                log::warn!(event = "lease_withheld", reason = "the newest row cannot be decoded"; "");
                HeartbeatReply::Acknowledged
            }
            (Some(record), _) if record.is_stated_gone(&local.incarnation) => self.no_leases(),
            (Some(record), Some(confirmed_at)) => {
                let (assignment, row_version) = (record.assignment.clone(), record.version);
                if !is_due && !needs_prompt_reply(local, &assignment) {
                    return;
                }
                self.lease_reply(&assignment, row_version, confirmed_at, now)
            }
            _ if is_due => HeartbeatReply::Acknowledged,
            _ => return,
        };
        if let Some(local) = &mut self.local {
            local.send_reply(reply);
            let is_awaited = now.saturating_since(local.last_heartbeat_at) < REPLY_TIMEOUT;
            local.replied_at = is_awaited.then_some(now);
        }
    }

    fn lease_reply(
        &mut self,
        assignment: &Assignment,
        row_version: u64,
        confirmed_at: BootInstant,
        now: BootInstant,
    ) -> HeartbeatReply {
        // The previous process on this VM may have acted on a newer row than the one that a peer
        // has sent to this process, and the target may have released keys accordingly.
        let is_confirmed_since_start = confirmed_at >= self.started_at;
        let terms = assignment.grant_terms(self.lease_terms);
        let Some(lease) = terms.lease(confirmed_at, now).filter(|_| is_confirmed_since_start)
        else {
            log::warn!(event = "lease_withheld", reason = "the assignment was not confirmed lately"; "");
            return HeartbeatReply::Acknowledged;
        };
        let Some(local) = &mut self.local else {
            return HeartbeatReply::Acknowledged;
        };
        let grants = grants_of(assignment, &local.incarnation);
        let confirmed_age = now.saturating_since(confirmed_at);
        log_leases(local, &grants, row_version, confirmed_age, lease);
        local.forget_releases(&grants);
        // The target counts the lease from sending the heartbeat, shortly before it arrived here.
        local.granted =
            Some(HeldLeases::of_reply(&ranges_of(&grants), local.last_heartbeat_at + lease));
        local.replies_end_at = local.replies_end_at.max(terms.lease_end(now, lease));
        HeartbeatReply::Leases { grants, lease_ms: millis(lease) }
    }

    pub(super) fn max_reply_delay(&self) -> Duration {
        MAX_REPLY_DELAY.min(self.heartbeat_interval() * MAX_REPLY_DELAY_PERCENT / 100)
    }
}

fn grants_of(assignment: &Assignment, target: &TargetIncarnation) -> Vec<Grant> {
    let entries = assignment.owned_by(target);
    let grants = entries.map(|entry| Grant {
        first: entry.range.first,
        last: entry.range.last,
        fence: entry.fence,
        handover: entry.handover.clone(),
    });
    grants.collect()
}

fn ranges_of(grants: &[Grant]) -> Vec<(KeyRange, u64)> {
    let ranges = grants.iter().map(|it| (KeyRange { first: it.first, last: it.last }, it.fence));
    ranges.collect()
}

/// Whether the target needs a reply at once: it is draining, its grants have changed, or it still
/// holds keys that it has to release.
fn needs_prompt_reply(local: &LocalTargetState, assignment: &Assignment) -> bool {
    if local.draining_since.is_some() {
        return true;
    }
    let ranges = ranges_of(&grants_of(assignment, &local.incarnation));
    match &local.granted {
        Some(granted) if granted.are_exactly(&ranges) => local.held.iter().any(|held| {
            let is_granted =
                |(range, _): &(KeyRange, u64)| range.first <= held.first && held.last <= range.last;
            !ranges.iter().any(is_granted)
        }),
        Some(_) => true,
        None => !ranges.is_empty() || !local.held.is_empty(),
    }
}

fn refuse(answer: oneshot::Sender<HeartbeatAnswer>, target_id: &str, reason: String) {
    log::warn!(event = "heartbeat_refused", target_id, reason = reason.as_str(); "");
    send_reply(answer, HeartbeatAnswer::Refused { reason });
}

/// Acknowledges a deregistration.
pub(super) fn acknowledge(answer: oneshot::Sender<HeartbeatAnswer>) {
    send_reply(answer, HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged));
}

fn send_reply(answer: oneshot::Sender<HeartbeatAnswer>, reply: HeartbeatAnswer) {
    if answer.send(reply).is_err() {
        log::debug!(event = "heartbeat_abandoned"; "");
    }
}
