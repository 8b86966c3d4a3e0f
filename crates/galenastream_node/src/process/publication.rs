//! Snapshots of the control state for the traffic thread, other nodes and operators.

use std::sync::Arc;

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{ColdPeriod, NodeKey, RequestRate};
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, TargetStatus};

use super::control_state::ControlState;
use super::local_limit::LocalLimit;
use super::local_target::LocalTargetState;
use super::ownership_log::millis;
use super::peer_book::PeerRecord;
use super::unseen_leave::UnseenLeave;
use super::{
    Directory, EvacuatedPage, LocalTarget, NodeEntry, StatusPage, SyncSnapshot, TargetEntry,
    TargetPage,
};

impl ControlState {
    /// The status that this node sends to all others.
    pub fn status(&self, now: BootInstant) -> NodeStatus {
        NodeStatus {
            node: self.node.to_string(),
            started_boot_ns: self.started_at.as_ns(),
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.listeners.peers.to_string(),
            target: self.usable_target().map(|it| self.target_status(it, now)),
            config_version: self.config_version(),
            is_closing: self.is_closing,
            is_refusing: self.is_refusing,
            reaches_store: self.reaches_store,
            confirms_config: Some(self.confirms_config()),
            states_config_age: true,
            rows_version: self.rows_version,
            reads_rows: self.reads_rows(now),
            facts: self.facts(now),
            suspects: self.quarantine.stated(now),
            quarantine_digest: self.quarantine.digest(),
            crash_count: self.quarantine.crash_count(),
            evacuations: self.evacuations.to_records(),
        }
    }

    /// The local target, unless it may have left. It is then not published, as if it were not known yet.
    pub(super) fn usable_target(&self) -> Option<&LocalTargetState> {
        self.local.as_ref().filter(|it| it.unseen_leave != UnseenLeave::Presumed)
    }

    pub(super) fn target_status(&self, local: &LocalTargetState, now: BootInstant) -> TargetStatus {
        let limit = self.limit_of(local);
        let measured = self.local_capacity_milli_per_s;
        let cold = self.cold_period(local, now);
        TargetStatus {
            service: local.service.to_string(),
            id: local.incarnation.id.to_string(),
            born_ms: local.incarnation.born_ms,
            slots: local.slots,
            is_draining: local.draining_since.is_some(),
            is_silent: local.is_silent(now, self.heartbeat_timeout()),
            capacity_milli_per_s: limit.map_or(measured, |it| it.capacity(measured, now)),
            key_loads: self.local_key_loads.clone(),
            limit_milli_per_s: limit.map(|it| it.announced.rate.milli_per_s()),
            releases_late: self.releases_late(local, now),
            wants_trial: limit.is_some_and(|it| it.trial_wanted_since().is_some()),
            cold_limit_milli_per_s: cold.map(|it| it.limit.milli_per_s()),
            cold_remaining_ms: cold.map_or(0, |it| millis(it.until.saturating_since(now))),
        }
    }

    /// The time for which the local target is cold, if its service limits the requests meanwhile.
    fn cold_period(&self, local: &LocalTargetState, now: BootInstant) -> Option<ColdPeriod> {
        let rules = self.routing.as_ref().and_then(|it| it.service(&local.service));
        let limit = rules.and_then(|it| it.cold_limit_milli_per_s).map(RequestRate::new);
        let evacuation_ended_at = self.evacuations.ended_at(&self.settings.data_centre);
        local.cold.period(limit, evacuation_ended_at, now)
    }

    /// The request limit that the local target announces.
    pub(super) fn limit_of(&self, local: &LocalTargetState) -> Option<&LocalLimit> {
        self.local_limit.as_ref().filter(|it| it.announced.target == local.incarnation)
    }

    /// The snapshot of nodes, targets and assignments for the traffic thread.
    pub fn directory(&self, now: BootInstant) -> Directory {
        let mut nodes = vec![self.local_entry(now)];
        let planner = self.planner(now);
        for (name, peer) in self.peers.iter() {
            let status = peer.status.as_ref();
            nodes.push(NodeEntry {
                key: peer.key,
                name: name.clone(),
                address: peer.address,
                data_centre: peer.data_centre.clone(),
                target: status.and_then(|it| it.target.as_ref()).map(|it| target_entry(peer, it)),
                is_closing: status.is_some_and(|it| it.is_closing),
                is_refusing: status.is_some_and(|it| it.is_refusing),
                is_evacuated: self.evacuations.is_requested(&peer.data_centre),
                is_reachable: peer.is_reachable(now),
                reads_rows: status.is_none_or(|it| it.reaches_store && it.reads_rows),
                is_planner: **name == *planner,
                quarantine_digest: status.map_or(0, |it| it.quarantine_digest),
                is_local: false,
            });
        }
        let assignments =
            self.assignments.iter().map(|(name, it)| (name.clone(), it.assignment.clone()));
        Directory {
            nodes,
            assignments: assignments.collect(),
            local: self.usable_target().map(|it| self.local_target(it, now)),
        }
    }

    fn local_entry(&self, now: BootInstant) -> NodeEntry {
        let target = self.usable_target().map(|it| TargetEntry {
            service: it.service.clone(),
            incarnation: it.incarnation.clone(),
            slots: it.slots,
            draining_since: it.draining_since,
            limit: self.limit_of(it).map(|it| it.announced.rate),
            trial_wanted_since: self.limit_of(it).and_then(LocalLimit::trial_wanted_since),
            cold: self.cold_period(it, now),
        });
        NodeEntry {
            key: NodeKey(0),
            name: self.node.clone(),
            address: self.settings.listeners.peers,
            data_centre: Arc::from(self.settings.data_centre.as_str()),
            target,
            is_closing: self.is_closing,
            is_refusing: self.is_refusing,
            is_evacuated: self.evacuations.is_requested(&self.settings.data_centre),
            is_reachable: true,
            reads_rows: true,
            is_planner: false,
            quarantine_digest: 0,
            is_local: true,
        }
    }

    pub(super) fn local_target(&self, local: &LocalTargetState, now: BootInstant) -> LocalTarget {
        LocalTarget {
            service: local.service.clone(),
            incarnation: local.incarnation.clone(),
            slots: local.slots,
            draining_since: local.draining_since,
            holds_keys: self.holds_keys(&local.service),
            is_evacuated: self.evacuations.is_requested(&self.settings.data_centre),
            cold: self.cold_period(local, now),
            leases: local.held_leases(now),
        }
    }

    /// The snapshot of config and rows that answers sync queries of other nodes.
    pub fn sync_snapshot(&mut self) -> SyncSnapshot {
        SyncSnapshot {
            config_version: self.config_version(),
            config: self.encoded_config.clone(),
            rows: self.shared_rows(),
            rows_version: self.rows_version,
            confirmed_at: self.confirmed_at.filter(|_| !self.misses_newer_row()),
            config_confirmed_at: self.config_confirmed_at(),
        }
    }

    fn evacuated_pages(&self, now: BootInstant) -> Vec<EvacuatedPage> {
        let in_force = self.evacuations.in_force(now);
        in_force
            .into_iter()
            .map(|(data_centre, known)| EvacuatedPage { data_centre, known })
            .collect()
    }

    /// The status page for operators.
    pub fn status_page(&self, now: BootInstant) -> StatusPage {
        let cold = self.local.as_ref().and_then(|it| self.cold_period(it, now));
        let target = self.local.as_ref().map(|it| TargetPage {
            id: it.incarnation.id.to_string(),
            born_ms: it.incarnation.born_ms,
            service: it.service.to_string(),
            slots: it.slots,
            // Known to the traffic thread alone.
            pending_requests: 0,
            limit_milli_per_s: self.limit_of(it).map(|it| it.announced.rate.milli_per_s()),
            capacity_milli_per_s: self.local_capacity_milli_per_s,
            cold_limit_milli_per_s: cold.map(|it| it.limit.milli_per_s()),
            cold_remaining_ms: cold.map_or(0, |it| millis(it.until.saturating_since(now))),
            is_draining: it.draining_since.is_some(),
            is_silent: it.is_silent(now, self.heartbeat_timeout()),
            is_withheld: it.unseen_leave == UnseenLeave::Presumed,
            leases_withheld: self.withheld_reason(now),
            leases: it.held_leases(now).pages(now),
        });
        let confirmed_age = self.confirmed_at.map(|it| now.saturating_since(it));
        StatusPage {
            node: self.node.to_string(),
            data_centre: self.settings.data_centre.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            up: now.saturating_since(self.started_at),
            config_version: self.config_version(),
            config_refused: self.refused_config.clone(),
            evacuated: self.evacuated_pages(now),
            tree_version: self.tree_version,
            rows_version: self.rows_version,
            rows_confirmed_age: confirmed_age,
            reaches_store: self.reaches_store,
            reads_rows: self.reads_rows(now),
            is_planner: self.is_planner(now),
            is_closing: self.is_closing,
            peers_heard: self.peers.iter().filter(|(_, it)| it.is_reachable(now)).count(),
            peers_known: self.peers.iter().count(),
            quarantined_requests: self.quarantine.quarantined_count(),
            target,
        }
    }
}

fn target_entry(peer: &PeerRecord, status: &TargetStatus) -> TargetEntry {
    let incarnation = TargetIncarnation::new(status.id.as_str(), status.born_ms);
    TargetEntry {
        service: Arc::from(status.service.as_str()),
        slots: status.slots,
        draining_since: peer.draining_since(&incarnation),
        trial_wanted_since: peer.trial_wanted_since(),
        cold: peer.cold_period(),
        incarnation,
        limit: status.limit_milli_per_s.map(RequestRate::new),
    }
}
