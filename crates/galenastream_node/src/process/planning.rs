//! Planning: the changes that one node, the planner, makes to the assignments of all targets.

use std::time::Duration;

use galenastream_ranges::{
    Assignment, Holding, KeyLoad, KeyRange, Owner, PlannedMove, Planner, PlannerSettings,
    RangeEntry, TargetIncarnation, TargetLoad,
};
use galenastream_settings::EffectiveSettings;
use galenastream_utils::BootInstant;
use galenastream_wire::{IncarnationRecord, OwnershipFacts, TargetStatus};

use super::control_state::ControlState;
use super::ownership_facts::expire_holds;
use super::ownership_log::{EndEvidence, HoldEnd};
use super::peer_book::PeerRecord;

/// Time without a status after which a node is lost and the keys of its target are revoked. Longer
/// than the restart of a process.
const NODE_LOSS_TIMEOUT: Duration = Duration::from_millis(3_500);

/// How long a round of balancing waits for a move in progress. Longer than the work on the keys of most
/// moves.
const MOVE_PATIENCE: Duration = Duration::from_millis(2_000);

/// Minimum time between two rounds in which targets of a service get keys to find out whether their
/// limits have ended. By then the keys of the first round have got requests.
const TRIAL_GAP: Duration = Duration::from_secs(4);

/// How long a planner waits after its start for the targets to appear, in hundredths of the
/// heartbeat interval.
const STARTUP_PERCENT: u32 = 220;

/// Assumed ratio of a route's target latency to the service time of its requests, from which the
/// capacity of a target is estimated until it is measured. Operators set the target latency to
/// about this multiple of the service time.
const LATENCY_PER_SERVICE_TIME: f64 = 3.0;

impl ControlState {
    /// Whether this node is the planner: the first by name of the nodes that reach the store.
    ///
    /// Two nodes may both take themselves for the planner without harm, since each write expects
    /// the version of the row that it was planned on.
    pub(super) fn is_planner(&self, now: BootInstant) -> bool {
        if !self.reaches_store || self.is_closing {
            return false;
        }
        self.planner(now) == &*self.node
    }

    /// The name of the planner in the view of this node; a name after all others if no node can
    /// plan.
    pub(super) fn planner(&self, now: BootInstant) -> &str {
        let mut first: &str = &self.node;
        let is_candidate = self.reaches_store && !self.is_closing;
        if !is_candidate {
            first = "\u{10ffff}";
        }
        for (name, peer) in self.peers.iter() {
            let Some(status) = &peer.status else {
                continue;
            };
            if peer.is_reachable(now)
                && status.reaches_store
                && !status.is_closing
                && **name < *first
            {
                first = name;
            }
        }
        first
    }

    /// Applies the planned changes to the assignment of a service.
    pub(super) fn plan_service(
        &mut self,
        service: &str,
        assignment: &mut Assignment,
        now: BootInstant,
    ) {
        if !self.is_startup_over(service, now) {
            return;
        }
        let row_version = self.assignment_record(service).version;
        assignment.record_departures(row_version);
        self.apply_peer_facts(service, assignment, now);
        self.complete_vacant_moves(service, assignment, now);
        self.revoke_from_lost(service, assignment);
        let mut targets = self.live_targets(service, now);
        let settings = *self.settings_tree.effective(service, &self.settings.data_centre, None);
        let planner = Planner::new(planner_settings(&settings));
        for planned in planner.place_orphaned_keys(assignment, &targets) {
            apply_move(assignment, &planned, row_version);
        }
        let round = Duration::from_millis(u64::from(settings.planner_round_ms));
        // A round of balancing starts only when the moves of the previous round are complete.
        // Leaving keys without a next owner do not count, since those of a lost target keep leaving
        // until its leases have expired. Neither do moves that take long, as those whose release is
        // not answered: they would hold up the balancing of all other keys.
        let record = self.assignment_record(service);
        let is_awaited = |it: &RangeEntry| match &it.holding {
            Holding::Leaving { to: Some(_), departure, .. } => {
                let seen_at = record.vacancy.seen_at(*departure);
                seen_at.is_none_or(|it| now.saturating_since(it) < MOVE_PATIENCE)
            }
            _ => false,
        };
        let has_planned_moves = assignment.entries().iter().any(is_awaited);
        if has_planned_moves || now.saturating_since(record.balanced_at) < round {
            return;
        }
        record.balanced_at = now;
        let is_trial_due = now.saturating_since(record.tried_limits_at) >= TRIAL_GAP;
        log_loads(service, &targets);
        let wanting = self.targets_wanting_trial(service);
        if is_trial_due {
            let trials = planner.trials(assignment, &targets, &wanting);
            for planned in &trials {
                log::info!(event = "limit_trial", service, range:% = planned.range, to:% = planned.to.target; "");
                apply_move(assignment, planned, row_version);
            }
            if !trials.is_empty() {
                self.assignment_record(service).tried_limits_at = now;
            }
        }
        // The keys of a trial stay until a response shows whether the limit has ended.
        targets.retain(|it| !wanting.contains(&it.owner.target));
        for planned in planner.balance(assignment, &targets) {
            log::info!(event = "keys_move", service, range:% = planned.range, to:% = planned.to.target; "");
            apply_move(assignment, &planned, row_version);
        }
    }

    /// Whether all targets of a service have had time to appear, so that the first ones do not get
    /// all keys. After a restart of the whole deployment, the rows name the nodes to wait for, and
    /// planning starts as soon as all of them have reported a target.
    fn is_startup_over(&self, service: &str, now: BootInstant) -> bool {
        let startup_time =
            Duration::from_millis(self.settings.heartbeat_ms) * STARTUP_PERCENT / 100;
        if now.saturating_since(self.started_at) >= startup_time {
            return true;
        }
        let has_row = self.assignments.get(service).is_some_and(|it| it.version > 0);
        let has_target = |peer: &PeerRecord| {
            peer.is_reachable(now) && peer.status.as_ref().is_some_and(|it| it.target.is_some())
        };
        has_row && self.local.is_some() && self.peers.iter().all(|(_, it)| has_target(it))
    }

    /// Applies the facts of nodes that do not reach the store. Facts are valid only for the version
    /// of the row that they were derived from.
    fn apply_peer_facts(&mut self, service: &str, assignment: &mut Assignment, now: BootInstant) {
        let version = self.assignment_record(service).version;
        for (node, peer) in self.peers.iter() {
            let Some(status) = peer.status.as_ref().filter(|_| peer.is_reachable(now)) else {
                continue;
            };
            for facts in &status.facts {
                if facts.service != service || facts.version != version {
                    continue;
                }
                log::info!(event = "peer_facts_applied", service, node = &**node, version; "");
                let log_end = |target: &TargetIncarnation, range| {
                    let end = HoldEnd {
                        service,
                        range,
                        target,
                        row_version: version,
                        evidence: EndEvidence::ReportedByPeer,
                        age: peer.status_age(now),
                        node,
                    };
                    end.log();
                };
                apply_facts(assignment, facts, peer.target(), log_end);
            }
        }
    }

    /// Completes moves of keys on which every lease has expired.
    fn complete_vacant_moves(
        &mut self,
        service: &str,
        assignment: &mut Assignment,
        now: BootInstant,
    ) {
        // Other nodes may have other settings.
        let terms = assignment.granted_terms(self.longest_terms(service));
        let record = self.assignment_record(service);
        let row_version = record.version;
        for vacant in record.vacancy.vacant_ranges(assignment, &terms, now) {
            let (range, target) = (vacant.range, &vacant.target);
            if assignment.complete_move(target, range, "") {
                log::info!(event = "keys_vacant", service, range:%, target:%; "");
                let end = HoldEnd {
                    service,
                    range,
                    target,
                    row_version,
                    evidence: EndEvidence::RowValidity,
                    age: now.saturating_since(vacant.seen_at),
                    node: &self.node,
                };
                end.log();
            }
        }
    }

    /// Revokes the keys of targets whose nodes are lost.
    fn revoke_from_lost(&self, service: &str, assignment: &mut Assignment) {
        let row_version = self.assignments.get(service).map_or(0, |it| it.version);
        for holder in assignment.holders() {
            if holder.node == self.node || !self.is_lost(&holder) {
                continue;
            }
            let owned: Vec<KeyRange> =
                assignment.owned_by(&holder.target).map(|it| it.range).collect();
            if !owned.is_empty() {
                log::info!(event = "owner_lost", service, target:% = holder.target, node = &*holder.node; "");
            }
            for range in owned {
                assignment.begin_move(range, None, row_version);
            }
            assignment.clear_next_owner(&holder.target);
        }
    }

    fn is_lost(&self, holder: &Owner) -> bool {
        self.peers.silence(&holder.node) > NODE_LOSS_TIMEOUT
    }

    /// The targets of a service that want to get keys to find out whether their limits have ended.
    fn targets_wanting_trial(&self, service: &str) -> Vec<TargetIncarnation> {
        let mut wanting = Vec::new();
        if let Some(local) = self.local.as_ref().filter(|it| *it.service == *service)
            && self.limit_of(local).is_some_and(|it| it.trial_wanted_since().is_some())
        {
            wanting.push(local.incarnation.clone());
        }
        for (_, peer) in self.peers.iter() {
            let status = peer.status.as_ref().and_then(|it| it.target.as_ref());
            if status.is_some_and(|it| it.service == service && it.wants_trial) {
                wanting.extend(peer.target());
            }
        }
        wanting
    }

    /// The targets of a service whose nodes are reachable, with their load, ordered by node.
    fn live_targets(&self, service: &str, now: BootInstant) -> Vec<TargetLoad> {
        let mut targets = Vec::new();
        let latency_ms = self.routing.as_ref().and_then(|it| it.min_target_latency_ms(service));
        let default_per_slot_per_s =
            LATENCY_PER_SERVICE_TIME * 1_000.0 / latency_ms.unwrap_or(1_000).max(1) as f64;
        if let (Some(local), Some(owner)) = (self.usable_target(), self.local_owner())
            && &*local.service == service
        {
            let status = self.target_status(local, now);
            let is_staying =
                !self.is_closing && !self.evacuations.is_requested(&self.settings.data_centre);
            targets.push(target_load(owner, &status, is_staying, default_per_slot_per_s));
        }
        for (name, peer) in self.peers.iter() {
            let status = peer.status.as_ref();
            let Some(target) = status.and_then(|it| it.target.as_ref()) else {
                continue;
            };
            if target.service != service || !peer.is_reachable(now) {
                continue;
            }
            let incarnation = TargetIncarnation::new(target.id.as_str(), target.born_ms);
            let is_draining = peer.draining_since(&incarnation).is_some();
            let owner = Owner::new(incarnation, name.clone());
            let is_evacuated = self.evacuations.is_requested(&peer.data_centre);
            let is_staying =
                status.is_some_and(|it| !it.is_closing) && !is_draining && !is_evacuated;
            targets.push(target_load(owner, target, is_staying, default_per_slot_per_s));
        }
        targets.sort_by(|a, b| a.owner.node.cmp(&b.owner.node));
        targets
    }
}

/// `default_per_slot_per_s` is the assumed request rate of a slot, used until a capacity is
/// measured.
fn target_load(
    owner: Owner,
    status: &TargetStatus,
    is_staying: bool,
    default_per_slot_per_s: f64,
) -> TargetLoad {
    let capacity_per_s = match status.capacity_milli_per_s {
        0 => default_per_slot_per_s * f64::from(status.slots),
        measured => measured as f64 / 1_000.0,
    };
    let cold_per_s = status.cold_limit_milli_per_s.map(|it| it as f64 / 1_000.0);
    let capacity_per_s = cold_per_s.map_or(capacity_per_s, |it| it.min(capacity_per_s));
    let mut loads = Vec::with_capacity(status.key_loads.len());
    for record in &status.key_loads {
        let Some(range) = key_range(record.first, record.last) else {
            continue;
        };
        loads.push(KeyLoad { range, per_s: record.milli_per_s as f64 / 1_000.0 });
    }
    let is_limited = status.limit_milli_per_s.is_some();
    let is_eligible = is_staying && !status.is_draining && !status.is_silent;
    let releases_late = status.releases_late;
    TargetLoad { owner, capacity_per_s, is_limited, is_eligible, releases_late, loads }
}

fn planner_settings(settings: &EffectiveSettings) -> PlannerSettings {
    PlannerSettings {
        imbalance_ratio: f64::from(settings.planner_imbalance_percent) / 100.0,
        busy_utilisation: f64::from(settings.planner_busy_percent) / 100.0,
        moves_per_round: settings.planner_moves_per_round as usize,
    }
}

/// Applies the facts that a node states, and calls `log_end` for each hold that they end.
fn apply_facts(
    assignment: &mut Assignment,
    facts: &OwnershipFacts,
    target: Option<TargetIncarnation>,
    log_end: impl Fn(&TargetIncarnation, KeyRange),
) {
    let incarnation = |it: &IncarnationRecord| TargetIncarnation::new(it.id.as_str(), it.born_ms);
    for target in facts.gone.iter().map(incarnation) {
        for entry in assignment.held_by(&target) {
            log_end(&target, entry.range);
        }
        assignment.remove_owner(&target);
    }
    for target in facts.ended.iter().chain(&facts.expired).map(incarnation) {
        for range in expire_holds(assignment, &target, facts.version) {
            log_end(&target, range);
        }
    }
    let Some(target) = target else {
        return;
    };
    for release in &facts.releases {
        let Some(range) = key_range(release.first, release.last) else {
            continue;
        };
        if assignment.complete_move(&target, range, &release.handover) {
            log_end(&target, range);
        }
    }
}

fn key_range(first: u32, last: u32) -> Option<KeyRange> {
    KeyRange::new(u16::try_from(first).ok()?, u16::try_from(last).ok()?)
}

fn apply_move(assignment: &mut Assignment, planned: &PlannedMove, row_version: u64) {
    // The first call changes only owned keys, the second one only free keys.
    assignment.begin_move(planned.range, Some(&planned.to), row_version);
    assignment.assign(planned.range, &planned.to);
}

/// Logs the load and capacity of each target, in requests per second, before a round of balancing.
fn log_loads(service: &str, targets: &[TargetLoad]) {
    let mut loads = String::new();
    for target in targets {
        let per_s: f64 = target.loads.iter().map(|it| it.per_s).sum();
        let name = &target.owner.target.id;
        loads += &format!("{name}={per_s:.0}/{:.0} ", target.capacity_per_s);
    }
    log::info!(event = "loads_compared", service, loads = loads.trim_end(); "");
}
