//! What this node alone knows of ownership: releases and ends of the target beside it.

use std::time::Duration;

use galenastream_adapter::HeartbeatReply;
use galenastream_ranges::{Assignment, Holding, KeyRange, RangeEntry, TargetIncarnation};
use galenastream_utils::BootInstant;
use galenastream_wire::{IncarnationRecord, OwnershipFacts, ReleaseRecord};

use super::Effect;
use super::control_state::ControlState;
use super::local_target::{Identity, LocalTargetState};

/// How late a heartbeat may arrive: seconds, and no longer than the longest lease.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(10_000);

/// Ended incarnations that are remembered.
const MAX_ENDED_INCARNATIONS: usize = 16;

impl ControlState {
    /// Applies what this node alone knows of the target beside it.
    pub(super) fn apply_local_facts(
        &self,
        service: &str,
        assignment: &mut Assignment,
        now: BootInstant,
    ) {
        for target in self.ended_holders(assignment, now) {
            log::info!(event = "owner_removed", service, target:% = target; "");
            assignment.remove_owner(&target);
        }
        let Some(local) = self.local.as_ref().filter(|it| &*it.service == service) else {
            return;
        };
        let is_staying = local.draining_since.is_none() && !self.is_closing;
        let is_unplanned =
            |it: &RangeEntry| matches!(it.holding, Holding::Leaving { to: None, .. });
        if is_staying && assignment.leaving(&local.incarnation).any(is_unplanned) {
            assignment.cancel_moves(&local.incarnation);
            return;
        }
        for (range, handover) in released_ranges(local, assignment) {
            assignment.complete_move(&local.incarnation, range, &handover);
        }
    }

    /// Owners beside this node that have provably ended.
    pub(super) fn ended_holders(
        &self,
        assignment: &Assignment,
        now: BootInstant,
    ) -> Vec<TargetIncarnation> {
        let holders = assignment.holders().into_iter();
        let ended = holders.filter(|it| it.node == self.node && self.has_ended(&it.target, now));
        ended.map(|it| it.target).collect()
    }

    /// What this node would write if it reached the store.
    pub(super) fn facts(&self, now: BootInstant) -> Vec<OwnershipFacts> {
        if self.reaches_store {
            return Vec::new();
        }
        let mut facts = Vec::new();
        for (service, record) in &self.assignments {
            let local = self.local.as_ref().filter(|it| *it.service == **service);
            let ranges = local.map(|it| released_ranges(it, &record.assignment));
            let releases = ranges.into_iter().flatten().map(|(range, handover)| ReleaseRecord {
                first: u32::from(range.first),
                last: u32::from(range.last),
                handover,
            });
            let ended = self.ended_holders(&record.assignment, now).into_iter();
            let ended =
                ended.map(|it| IncarnationRecord { id: it.id.to_string(), born_ms: it.born_ms });
            let of_service = OwnershipFacts {
                service: service.clone(),
                version: record.version,
                releases: releases.collect(),
                ended: ended.collect(),
            };
            if !of_service.releases.is_empty() || !of_service.ended.is_empty() {
                facts.push(of_service);
            }
        }
        facts
    }

    /// Whether an incarnation beside this node provably holds no keys any more.
    pub(super) fn has_ended(&self, target: &TargetIncarnation, now: BootInstant) -> bool {
        if self.has_ended_recently(target, now) {
            return true;
        }
        match &self.local {
            Some(local) if local.incarnation == *target => {
                local.is_silent(now, self.silent_after()) && now >= local.leases_end_at
            }
            // One heartbeat alone may have been delayed since an earlier life.
            Some(local) => {
                let is_certain =
                    local.heartbeat_count >= 2 || local.identity == Identity::Confirmed;
                is_certain && local.incarnation.born_ms >= target.born_ms
            }
            None => now >= self.lease_terms.inherited_leases_end(self.started_at),
        }
    }

    /// Whether an incarnation ended so short a while ago that a heartbeat of it must be a delayed
    /// one. Later ones come from a target that lives, whatever showed its end.
    pub(super) fn has_ended_recently(&self, target: &TargetIncarnation, now: BootInstant) -> bool {
        let ended = self.ended.iter().rev().find(|(it, _)| it == target);
        ended.is_some_and(|(_, at)| now.saturating_since(*at) < MAX_HEARTBEAT_DELAY)
    }

    /// Forgets the target beside this node, since it has provably ended.
    pub(super) fn end_local_target(&mut self, why: &'static str, now: BootInstant) {
        let Some(mut local) = self.local.take() else {
            return;
        };
        log::info!(event = "target_ended", target:% = local.incarnation, why; "");
        local.send_reply(HeartbeatReply::Acknowledged);
        self.ended.push((local.incarnation, now));
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.remove(0);
        }
    }

    /// Looks after a target whose heartbeats have stopped.
    pub(super) fn probe_silent_target(&mut self, now: BootInstant) {
        let silent_after = self.silent_after();
        let is_silent = match &self.local {
            Some(local) => local.is_silent(now, silent_after / 2),
            None => true,
        };
        let probed_recently = now.saturating_since(self.last_probe_at) < silent_after / 4;
        if is_silent && !probed_recently {
            self.last_probe_at = now;
            self.effects.push(Effect::ProbeTarget);
        }
    }

    /// Asks a target who it is whose keys still belong to an earlier one, so that they need not wait
    /// for its second heartbeat.
    pub(super) fn request_identity(&mut self) {
        let Some(local) = &self.local else {
            return;
        };
        if local.identity != Identity::Unknown || local.heartbeat_count >= 2 {
            return;
        }
        let rules = self.routing.as_ref().and_then(|it| it.service(&local.service));
        let Some(path) = rules.map(|it| it.health_path.clone()).filter(|it| !it.is_empty()) else {
            return;
        };
        let assignment = self.assignments.get(&*local.service).map(|it| &it.assignment);
        let holders = assignment.map(|it| it.holders()).unwrap_or_default();
        let replaces_holder =
            holders.iter().any(|it| it.node == self.node && it.target != local.incarnation);
        if !replaces_holder {
            return;
        }
        if let Some(local) = &mut self.local {
            local.identity = Identity::Requested;
        }
        self.effects.push(Effect::IdentifyTarget { path });
    }

    /// Takes in who listens beside this node.
    pub(super) fn handle_identity(&mut self, target_id: &str) {
        match &mut self.local {
            Some(local) if &*local.incarnation.id == target_id => {
                log::info!(event = "target_identified", target:% = local.incarnation; "");
                local.identity = Identity::Confirmed;
            }
            _ => log::info!(event = "target_differs", target_id; ""),
        }
    }

    /// Whether keys of the target beside this node are still to be passed on before it stops.
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

/// The keys that are to leave a target and that it has released, each with its handover token.
fn released_ranges(local: &LocalTargetState, assignment: &Assignment) -> Vec<(KeyRange, String)> {
    let mut ranges = Vec::new();
    for entry in assignment.leaving(&local.incarnation) {
        if local.may_hold(entry.range) {
            continue;
        }
        if let Some(handover) = local.handover_token(entry.range) {
            ranges.push((entry.range, handover.to_owned()));
            continue;
        }
        for release in &local.released {
            let released = KeyRange::new(release.first, release.last);
            if let Some(part) = released.and_then(|it| it.overlap(entry.range)) {
                ranges.push((part, release.handover.clone()));
            }
        }
        // What is left was never held. Pieces that were passed on already are not leaving any more.
        ranges.push((entry.range, String::new()));
    }
    ranges
}
