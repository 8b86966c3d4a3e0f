//! What the node that plans adds to an assignment.

use std::time::Duration;

use galenastream_ranges::{
    Assignment, Holding, KeyLoad, KeyRange, Owner, PlannedMove, Planner, PlannerSettings,
    TargetIncarnation, TargetLoad,
};
use galenastream_settings::EffectiveSettings;
use galenastream_utils::BootInstant;
use galenastream_wire::{OwnershipFacts, TargetStatus};

use super::control_state::ControlState;
use super::peer_book::PeerRecord;

/// A node that was not heard of for this long is lost, and its target's keys are taken away: longer
/// than the restart of a process.
const LOST_AFTER: Duration = Duration::from_millis(3_500);

/// How many heartbeat intervals, in hundredths, a planner waits for the targets to show up.
const STARTUP_PERCENT: u32 = 220;

/// Operators set the target latency of a route to about this many times its service time; a guess
/// while nothing is measured.
const LATENCY_PER_SERVICE_TIME: f64 = 3.0;

impl ControlState {
    /// Whether this node plans: the first by name of those that reach the store. Two nodes that
    /// both believe so do no harm, since each write depends on the row that it was decided on.
    pub(super) fn is_planner(&self, now: BootInstant) -> bool {
        if !self.reaches_store || self.is_closing {
            return false;
        }
        self.planner(now) == &*self.node
    }

    /// The name of the node that plans, as far as this node can tell.
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

    /// Adds what is planned for a service.
    pub(super) fn plan_service(
        &mut self,
        service: &str,
        assignment: &mut Assignment,
        now: BootInstant,
    ) {
        if !self.has_started_up(service, now) {
            return;
        }
        self.apply_peer_facts(service, assignment, now);
        self.reassign_vacant(service, assignment, now);
        self.revoke_from_lost(service, assignment, now);
        let targets = self.live_targets(service, now);
        let settings = *self.settings_tree.effective(service, &self.settings.data_centre, None);
        let planner = Planner::new(balance_terms(&settings));
        for planned in planner.place_orphaned_keys(assignment, &targets) {
            apply_move(assignment, &planned);
        }
        let round = Duration::from_millis(u64::from(settings.planner_round_ms));
        // Keys of a lost target wait for long; others need not wait for them.
        let is_balancing = assignment
            .entries()
            .iter()
            .any(|it| matches!(it.holding, Holding::Leaving { to: Some(_), .. }));
        let record = self.assignment_record(service);
        if is_balancing || now.saturating_since(record.balanced_at) < round {
            return;
        }
        record.balanced_at = now;
        log_loads(service, &targets);
        for planned in planner.balance(assignment, &targets) {
            log::info!(event = "keys_move", service, range:% = planned.range, to:% = planned.to.target; "");
            apply_move(assignment, &planned);
        }
    }

    /// Whether all targets of a service have had time to show up, so that the first ones do not get all
    /// keys. After a restart of everything the rows tell whom to wait for.
    fn has_started_up(&self, service: &str, now: BootInstant) -> bool {
        let startup_time =
            Duration::from_millis(self.settings.heartbeat_ms) * STARTUP_PERCENT / 100;
        if now.saturating_since(self.started_at) >= startup_time {
            return true;
        }
        let had_owners = self.assignments.get(service).is_some_and(|it| it.version > 0);
        let has_target = |peer: &PeerRecord| {
            peer.is_reachable(now) && peer.status.as_ref().is_some_and(|it| it.target.is_some())
        };
        had_owners && self.local.is_some() && self.peers.iter().all(|(_, it)| has_target(it))
    }

    /// Applies what nodes know that do not reach the store. Facts hold for one version of the row.
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
                apply_facts(assignment, facts, peer.target());
            }
        }
    }

    /// Passes on keys of which every lease has run out.
    fn reassign_vacant(&mut self, service: &str, assignment: &mut Assignment, now: BootInstant) {
        let terms = self.lease_terms;
        for (target, range) in self.assignment_record(service).vacancy.vacant_ranges(&terms, now) {
            log::info!(event = "keys_vacant", service, range:% = range, target:% = target; "");
            assignment.complete_move(&target, range, "");
        }
    }

    /// Takes keys away from targets whose nodes are lost.
    fn revoke_from_lost(&self, service: &str, assignment: &mut Assignment, now: BootInstant) {
        for holder in assignment.holders() {
            if holder.node == self.node || !self.is_lost(&holder, now) {
                continue;
            }
            let owned: Vec<KeyRange> =
                assignment.owned_by(&holder.target).map(|it| it.range).collect();
            if !owned.is_empty() {
                log::info!(event = "owner_lost", service, target:% = holder.target, node = &*holder.node; "");
            }
            for range in owned {
                assignment.begin_move(range, None);
            }
            clear_successor(assignment, &holder.target);
        }
    }

    fn is_lost(&self, holder: &Owner, now: BootInstant) -> bool {
        let last_status_at = self.peers.get(&holder.node).and_then(|it| it.last_status_at);
        let since = last_status_at.map_or(self.started_at, |it| it.max(self.started_at));
        now.saturating_since(since) > LOST_AFTER
    }

    /// The targets of a service that live.
    fn live_targets(&self, service: &str, now: BootInstant) -> Vec<TargetLoad> {
        let mut targets = Vec::new();
        let latency_ms = self.routing.as_ref().and_then(|it| it.min_target_latency_ms(service));
        let default_per_slot_per_s =
            LATENCY_PER_SERVICE_TIME * 1_000.0 / latency_ms.unwrap_or(1_000).max(1) as f64;
        if let (Some(local), Some(owner)) = (&self.local, self.local_owner())
            && &*local.service == service
        {
            let status = self.target_status(local, now);
            targets.push(target_load(owner, &status, !self.is_closing, default_per_slot_per_s));
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
            let owner = Owner::new(incarnation, name.clone());
            let is_staying = status.is_some_and(|it| !it.is_closing);
            targets.push(target_load(owner, target, is_staying, default_per_slot_per_s));
        }
        targets.sort_by(|a, b| a.owner.node.cmp(&b.owner.node));
        targets
    }
}

/// `guessed_per_s` is what a slot is taken to process while nothing is measured.
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
    let mut loads = Vec::with_capacity(status.key_loads.len());
    for record in &status.key_loads {
        let Some(range) = key_range(record.first, record.last) else {
            continue;
        };
        loads.push(KeyLoad { range, per_s: record.milli_per_s as f64 / 1_000.0 });
    }
    let is_eligible = is_staying && !status.is_draining && !status.is_silent;
    TargetLoad { owner, capacity_per_s, is_eligible, loads }
}

fn balance_terms(settings: &EffectiveSettings) -> PlannerSettings {
    PlannerSettings {
        imbalance_ratio: f64::from(settings.planner_imbalance_percent) / 100.0,
        busy_utilisation: f64::from(settings.planner_busy_percent) / 100.0,
        moves_per_round: settings.planner_moves_per_round as usize,
    }
}

fn apply_facts(
    assignment: &mut Assignment,
    facts: &OwnershipFacts,
    target: Option<TargetIncarnation>,
) {
    for ended in &facts.ended {
        assignment.remove_owner(&TargetIncarnation::new(ended.id.as_str(), ended.born_ms));
    }
    let Some(target) = target else {
        return;
    };
    for release in &facts.releases {
        if let Some(range) = key_range(release.first, release.last) {
            assignment.complete_move(&target, range, &release.handover);
        }
    }
}

fn key_range(first: u32, last: u32) -> Option<KeyRange> {
    KeyRange::new(u16::try_from(first).ok()?, u16::try_from(last).ok()?)
}

fn apply_move(assignment: &mut Assignment, planned: &PlannedMove) {
    // Each of these changes only the keys to which it applies.
    assignment.begin_move(planned.range, Some(&planned.to));
    assignment.assign(planned.range, &planned.to);
}

/// Names no next owner where the planned one is lost.
fn clear_successor(assignment: &mut Assignment, lost: &TargetIncarnation) {
    let entries = assignment.entries().to_vec();
    for entry in entries {
        let is_planned = matches!(
            &entry.holding,
            Holding::Leaving { to: Some(to), .. } if to.target == *lost
        );
        if is_planned {
            assignment.redirect_move(entry.range, None);
        }
    }
}

/// Logs what a round of balancing decides on.
fn log_loads(service: &str, targets: &[TargetLoad]) {
    let mut loads = String::new();
    for target in targets {
        let per_s: f64 = target.loads.iter().map(|it| it.per_s).sum();
        let name = &target.owner.target.id;
        loads += &format!("{name}={per_s:.0}/{:.0} ", target.capacity_per_s);
    }
    log::info!(event = "loads_compared", service, loads = loads.trim_end(); "");
}
