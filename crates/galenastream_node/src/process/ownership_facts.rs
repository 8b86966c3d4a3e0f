//! Facts about ownership that only this node can establish: which keys its local target has
//! released and which incarnations beside this node have ended.

use std::time::Duration;

use galenastream_adapter::{HeartbeatReply, LeaseDelivery};
use galenastream_ranges::{
    Assignment, EndProof, EndedPart, Holding, KeyRange, RangeEntry, TargetIncarnation,
};
use galenastream_utils::BootInstant;
use galenastream_wire::{IncarnationRecord, OwnershipFacts, ReleaseRecord};

use super::control_state::{AssignmentRecord, ControlState};
use super::local_target::{Identity, LocalTargetState};
use super::ownership_log::{EndEvidence, HoldEnd};

/// Assumed maximum delay of a heartbeat in transit. The platform may delay heartbeats by seconds,
/// but by no more than the longest lease that it permits (10 s).
pub(super) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(10_000);

/// Number of remembered incarnations that have ended.
const MAX_ENDED_INCARNATIONS: usize = 16;

/// An incarnation that has provably ended.
#[derive(Debug, Clone)]
pub(super) struct EndedTarget {
    pub(super) incarnation: TargetIncarnation,
    /// When this process learned of its end.
    pub(super) at: BootInstant,
    pub(super) evidence: EndEvidence,
    /// When the last lease that this process has granted to it ends.
    pub(super) leases_end_at: BootInstant,
}

/// Keys that a target holds no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Release {
    range: KeyRange,
    handover: String,
    evidence: EndEvidence,
}

impl From<EndedPart> for Release {
    fn from(part: EndedPart) -> Self {
        let evidence = match part.proof {
            EndProof::Released => EndEvidence::Released,
            EndProof::Expired => EndEvidence::GrantsExpired,
        };
        Self { range: part.range, handover: part.handover, evidence }
    }
}

impl ControlState {
    /// Removes ended owners beside this node from an assignment and completes moves whose keys the
    /// local target has released.
    ///
    /// If the target stays and one of its moves has no next owner, as after its node was taken for
    /// lost, all its moves are cancelled instead.
    pub(super) fn apply_local_facts(
        &mut self,
        service: &str,
        assignment: &mut Assignment,
        now: BootInstant,
    ) {
        let row_version = self.assignments.get(service).map_or(0, |it| it.version);
        let node = self.node.clone();
        let log_end = |target: &TargetIncarnation, range, evidence, since| {
            let node = &*node;
            let age = now.saturating_since(since);
            HoldEnd { service, range, target, row_version, evidence, age, node }.log();
        };
        let ends = self.state_ends(service, now);
        for ended in &ends {
            let target = &ended.incarnation;
            if !ended.evidence.is_final() {
                for range in expire_holds(assignment, target, row_version) {
                    log_end(target, range, ended.evidence, ended.at);
                }
                continue;
            }
            log::info!(event = "owner_removed", service, target:%; "");
            for entry in assignment.held_by(target) {
                log_end(target, entry.range, ended.evidence, ended.at);
            }
            assignment.remove_owner(target);
        }
        let Some(local) = self.local.as_ref().filter(|it| &*it.service == service) else {
            return;
        };
        if ends.iter().any(|it| it.incarnation == local.incarnation) {
            return;
        }
        let has_no_next_owner =
            |it: &RangeEntry| matches!(it.holding, Holding::Leaving { to: None, .. });
        if self.is_staying(local) && assignment.leaving(&local.incarnation).any(has_no_next_owner) {
            log::info!(event = "move_cancelled", service, target:% = local.incarnation, row_version; "");
            assignment.cancel_moves(&local.incarnation);
            return;
        }
        for (range, fence) in local.calls.ranges_with_low_fence() {
            let target = &local.incarnation;
            let is_current = assignment.entry_of(range.first).fence == fence;
            if is_current && assignment.reissue(range, target) {
                log::warn!(event = "fence_refused", service, range:%, target:%, fence, row_version; "");
            }
        }
        for release in self.ended_holds(local, assignment, now) {
            let target = &local.incarnation;
            if assignment.complete_move(target, release.range, &release.handover) {
                log_end(target, release.range, release.evidence, local.last_heartbeat_at);
            }
        }
    }

    /// Returns the holders beside this node that have provably ended, for a statement based on the
    /// known version of the assignment. A target that was stated to be gone stays so until another
    /// version is known.
    pub(super) fn state_ends(&mut self, service: &str, now: BootInstant) -> Vec<EndedTarget> {
        let Some(record) = self.assignments.get(service) else {
            return Vec::new();
        };
        let mut ends = record.stated_ends.clone();
        ends.retain(|it| it.evidence.is_final());
        for holder in record.assignment.holders() {
            let is_stated = ends.iter().any(|it| it.incarnation == holder.target);
            if holder.node != self.node || is_stated {
                continue;
            }
            ends.extend(self.ended_target(service, &holder.target, now));
        }
        if let Some(record) = self.assignments.get_mut(service) {
            record.stated_ends.clone_from(&ends);
        }
        ends
    }

    /// The facts that this node would write itself if it reached the store; empty if it does.
    pub(super) fn facts(&self, now: BootInstant) -> Vec<OwnershipFacts> {
        if self.reaches_store {
            return Vec::new();
        }
        let mut facts = Vec::new();
        for (service, record) in &self.assignments {
            let local = self.local.as_ref().filter(|it| *it.service == **service);
            let ranges = local.map(|it| self.ended_holds(it, &record.assignment, now));
            let releases = ranges.into_iter().flatten().map(|it| ReleaseRecord {
                first: u32::from(it.range.first),
                last: u32::from(it.range.last),
                handover: it.handover,
            });
            let ends_with = |is_final| {
                let ends = record.stated_ends.iter();
                let ends = ends.filter(move |it| it.evidence.is_final() == is_final);
                let records = ends.map(|it| IncarnationRecord {
                    id: it.incarnation.id.to_string(),
                    born_ms: it.incarnation.born_ms,
                });
                records.collect::<Vec<_>>()
            };
            let service_facts = OwnershipFacts {
                releases: releases.collect(),
                gone: ends_with(true),
                expired: ends_with(false),
                ..OwnershipFacts::new(service.as_str(), record.version)
            };
            if !service_facts.is_empty() {
                facts.push(service_facts);
            }
        }
        facts
    }

    /// The end of an incarnation beside this node, if it provably holds no keys any longer.
    pub(super) fn ended_target(
        &self,
        service: &str,
        target: &TargetIncarnation,
        now: BootInstant,
    ) -> Option<EndedTarget> {
        let leases_end = self.earlier_leases_end(service);
        // That leases have ended depends on the limits in the row, which may be known only now.
        let is_over =
            |it: &&EndedTarget| it.evidence.is_final() || now >= it.leases_end_at.max(leases_end);
        if let Some(ended) = self.recently_ended(target, now) {
            return Some(ended).filter(is_over).cloned();
        }
        let (evidence, at) = match &self.local {
            Some(local) if local.incarnation == *target => {
                let expired_at = local.leases_end_at(self.lease_terms, now).max(leases_end);
                self.has_expired(local, now).then_some((EndEvidence::LeasesExpired, expired_at))?
            }
            // This process has granted nothing to the target, since it would be local or ended.
            local => match local.as_ref().map(|it| (it.identity, &*it.incarnation.id)) {
                Some((Identity::Confirmed { at }, id)) if *id != *target.id => {
                    (EndEvidence::AnotherIdentified, at)
                }
                _ => (now >= leases_end)
                    .then_some((EndEvidence::EarlierLeasesExpired, leases_end))?,
            },
        };
        Some(EndedTarget { incarnation: target.clone(), at, evidence, leases_end_at: at })
    }

    /// Whether the heartbeats of the local target have stopped and its leases have expired.
    pub(super) fn has_expired(&self, local: &LocalTargetState, now: BootInstant) -> bool {
        self.silence(local, now) > self.heartbeat_timeout() && now >= self.leases_end(local, now)
    }

    /// When every lease of the local target ends that this process or an earlier one has granted.
    fn leases_end(&self, local: &LocalTargetState, now: BootInstant) -> BootInstant {
        let granted_here = local.leases_end_at(self.lease_terms, now);
        granted_here.max(self.earlier_leases_end(&local.service))
    }

    /// Whether a release of the local target's keys cannot count yet.
    pub(super) fn releases_late(&self, local: &LocalTargetState, now: BootInstant) -> bool {
        match self.lease_delivery(&local.service) {
            LeaseDelivery::Calls => {
                now < self.earlier_leases_end(&local.service).max(local.replies_end_at)
            }
            LeaseDelivery::Heartbeats | LeaseDelivery::Unknown(_) => false,
        }
    }

    /// The ranges that are leaving the local target and that it holds no longer.
    fn ended_holds(
        &self,
        local: &LocalTargetState,
        assignment: &Assignment,
        now: BootInstant,
    ) -> Vec<Release> {
        let earlier_end = self.earlier_leases_end(&local.service);
        match self.lease_delivery(&local.service) {
            LeaseDelivery::Calls => {
                let others_end = earlier_end.max(local.replies_end_at);
                let leaving = assignment.leaving(&local.incarnation);
                let parts =
                    leaving.flat_map(|it| local.calls.ended_parts(it.range, others_end, now));
                parts.map(Release::from).collect()
            }
            LeaseDelivery::Heartbeats | LeaseDelivery::Unknown(_) => {
                // A heartbeat may report a release from before the keys were granted by a call.
                if now < local.calls.all_end_at(self.lease_terms, now) {
                    return Vec::new();
                }
                released_ranges(local, assignment, now < earlier_end)
            }
        }
    }

    /// The time without a heartbeat of the local target for which this process ran. Heartbeats that
    /// arrived while it was suspended may not have been read yet.
    pub(super) fn silence(&self, local: &LocalTargetState, now: BootInstant) -> Duration {
        self.ran_for(now).saturating_sub(local.heard_after)
    }

    /// The instant by which every lease has ended that an earlier process on this VM may have
    /// granted on keys of a service.
    pub(super) fn earlier_leases_end(&self, service: &str) -> BootInstant {
        let record = self.assignments.get(service).filter(|it| it.version > 0);
        // Without the row, it is not known under which terms the earlier process granted.
        let max_lease = record.map_or(self.platform_max_lease, |it| {
            it.assignment.granted_terms(self.lease_terms).max_lease
        });
        self.lease_terms.lease_end(self.started_at, max_lease)
    }

    /// The end of an incarnation that ended so recently that a heartbeat of it must be a delayed
    /// one. A later heartbeat comes from a live target, even if its end was detected before.
    pub(super) fn recently_ended(
        &self,
        target: &TargetIncarnation,
        now: BootInstant,
    ) -> Option<&EndedTarget> {
        let ended = self.ended.iter().rev().find(|it| it.incarnation == *target)?;
        (now.saturating_since(ended.at) < MAX_HEARTBEAT_DELAY).then_some(ended)
    }

    /// Drops the local target, which has provably ended.
    pub(super) fn end_local_target(&mut self, evidence: EndEvidence, now: BootInstant) {
        let Some(mut local) = self.local.take() else {
            return;
        };
        let leases_end_at = local.leases_end_at(self.lease_terms, now);
        log::info!(event = "target_ended", target:% = local.incarnation, why = evidence.as_str(); "");
        local.send_reply(HeartbeatReply::Acknowledged);
        if evidence.is_final() && local.draining_since.is_none() {
            self.quarantine.record_crash(&local.incarnation, now);
        }
        self.ended.push(EndedTarget {
            incarnation: local.incarnation,
            at: now,
            evidence,
            leases_end_at,
        });
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.remove(0);
        }
    }

    /// Whether a write is under way after which the local target owns keys again that have been
    /// leaving it. It need not release them meanwhile, and gets no further leases.
    pub(super) fn is_cancelling_moves(
        &self,
        local: &LocalTargetState,
        record: &AssignmentRecord,
    ) -> bool {
        let is_cancelled =
            |it: &RangeEntry| matches!(it.holding, Holding::Leaving { to: None, .. });
        record.pending_write.is_some()
            && self.is_staying(local)
            && record.assignment.leaving(&local.incarnation).any(is_cancelled)
    }

    fn is_staying(&self, local: &LocalTargetState) -> bool {
        local.draining_since.is_none() && !self.is_closing
    }

    /// Whether keys of the local target still have to be handed over before this node stops.
    pub fn has_keys_to_hand_over(&self) -> bool {
        let Some(local) = &self.local else {
            return false;
        };
        let Some(record) = self.assignments.get(&*local.service) else {
            return false;
        };
        record.assignment.holders().iter().any(|it| it.target == local.incarnation)
    }
}

/// Completes the moves of keys away from a target whose leases have ended, and starts to free those
/// that it owns: they are free only by a further write, since another process may grant leases on
/// them as long as it knows no version on which they are leaving. Returns the completed ranges.
pub(super) fn expire_holds(
    assignment: &mut Assignment,
    target: &TargetIncarnation,
    row_version: u64,
) -> Vec<KeyRange> {
    // A departure that is based on this version is only about to be written.
    let is_written = |it: &&RangeEntry| it.holding.departure() != Some(row_version);
    let leaving = assignment.leaving(target).filter(is_written).map(|it| it.range);
    let leaving: Vec<KeyRange> = leaving.collect();
    for range in &leaving {
        assignment.complete_move(target, *range, "");
    }
    let owned: Vec<KeyRange> = assignment.owned_by(target).map(|it| it.range).collect();
    for range in owned {
        assignment.begin_move(range, None, row_version);
    }
    assignment.clear_next_owner(target);
    leaving
}

/// The ranges that are leaving a target and that it holds no longer, each with its handover token.
///
/// A heartbeat may have been delayed since before an earlier process on this VM granted keys. While
/// leases of that process may last (`has_earlier_leases`), a release counts only for keys that the
/// target has reported to this process as held before, and that keys are not mentioned proves nothing.
fn released_ranges(
    local: &LocalTargetState,
    assignment: &Assignment,
    has_earlier_leases: bool,
) -> Vec<Release> {
    let mut ranges = Vec::new();
    let counts = |range| !has_earlier_leases || local.has_shown(range);
    let release = |range, handover: &str, evidence| Release {
        range,
        handover: handover.to_owned(),
        evidence,
    };
    for entry in assignment.leaving(&local.incarnation) {
        if local.may_hold(entry.range) {
            continue;
        }
        if let Some(handover) = local.handover_token(entry.range).filter(|_| counts(entry.range)) {
            ranges.push(release(entry.range, handover, EndEvidence::Released));
            continue;
        }
        for reported in &local.released {
            let released = KeyRange::new(reported.first, reported.last);
            let part = released.and_then(|it| it.overlap(entry.range));
            if let Some(part) = part.filter(|it| counts(*it)) {
                ranges.push(release(part, &reported.handover, EndEvidence::Released));
            }
        }
        // The target never held the rest. Completing a move skips parts of the range that were
        // moved above, since they are not leaving any longer.
        if !has_earlier_leases {
            ranges.push(release(entry.range, "", EndEvidence::NeverHeld));
        }
    }
    ranges
}
