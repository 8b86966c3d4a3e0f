//! The control state of a node: its view of targets, leases, other nodes and the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{NodeSettings, Row, era_of};
use galenastream_ranges::{Assignment, LeaseTerms, Owner, TargetIncarnation, VacancyTracker};
use galenastream_settings::SettingsTree;
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{KeyLoadRecord, SharedRow};

use super::config_confirmation::{ConfigConfirmation, KnownStoredConfig};
use super::evacuations::{EvacuationSource, Evacuations};
use super::lease_calls::LeaseCallLog;
use super::local_limit::LocalLimit;
use super::local_target::LocalTargetState;
use super::ownership_facts::EndedTarget;
use super::ownership_log::log_owner_changes;
use super::peer_book::PeerRegistry;
use super::quarantine_spread::QuarantineWrite;
use super::row_versions::RowVersions;
use super::store_eras::StoreEras;
use super::target_leave::TargetLeaves;
use super::{ControlEvent, Effect, RefusedConfigPage, RequestQuarantine, TargetLimit};
use crate::version::RoutingTable;

/// The longest lease that a node grants. It outlasts the restart of a process, and is short enough
/// to wait out when a target falls silent.
const MAX_LEASE: Duration = Duration::from_millis(6_000);

/// How much longer than the platform's longest lease a row stays valid after its confirmation.
/// Outages of the store last up to 9 s, and leases are granted meanwhile for the remaining
/// validity.
const ROW_VALIDITY_MARGIN: Duration = Duration::from_millis(2_000);

/// The longest time between two ticks for which the process counts as running. A longer one is a
/// suspension or a lack of processor time.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);

/// Time without a heartbeat after which a target is silent, in hundredths of the heartbeat
/// interval.
const HEARTBEAT_TIMEOUT_PERCENT: u32 = 250;

/// The control state of a node: a state machine that takes events and the time and returns
/// effects, which the control loop executes.
#[derive(Debug)]
pub struct ControlState {
    pub(super) node: Arc<str>,
    pub(super) settings: NodeSettings,
    pub(super) started_at: BootInstant,
    pub(super) lease_terms: LeaseTerms,
    /// The longest lease that the platform permitted when the process started.
    pub(super) platform_max_lease: Duration,
    pub(super) routing: Option<Arc<RoutingTable>>,
    pub(super) peers: PeerRegistry,
    pub(super) local: Option<LocalTargetState>,
    pub(super) assignments: FastMap<String, AssignmentRecord>,
    pub(super) reaches_store: bool,
    /// When this process reached the store first.
    pub(super) store_reached_at: Option<BootInstant>,
    /// Whether the last read or watch of the table of the config succeeded.
    pub(super) reads_config: bool,
    /// The newest config that the store has shown.
    pub(super) stored_config: Option<KnownStoredConfig>,
    /// The newest config in the store, if it is refused.
    pub(super) refused_config: Option<RefusedConfigPage>,
    /// The latest confirmation of a config by the store.
    pub(super) config_confirmation: Option<ConfigConfirmation>,
    /// The highest version of the config that a peer had when it was newer than the one in force, and
    /// when such a version was last announced.
    pub(super) announced_config: Option<(u64, BootInstant)>,
    /// When the last sync query that a peer answered was sent; initially the start of the process.
    pub(super) synced_at: BootInstant,
    pub(super) is_closing: bool,
    pub(super) is_refusing: bool,
    pub(super) local_capacity_milli_per_s: u64,
    pub(super) local_key_loads: Vec<KeyLoadRecord>,
    pub(super) local_limit: Option<LocalLimit>,
    pub(super) effects: Vec<Effect>,
    pub(super) encoded_config: Bytes,
    pub(super) rows: FastMap<String, Row>,
    pub(super) row_versions: RowVersions,
    /// Cache of the rows in the form that is sent to other nodes; dropped when a row changes.
    pub(super) shared_rows: Option<Arc<[SharedRow]>>,
    pub(super) settings_tree: Arc<SettingsTree>,
    pub(super) tree_version: u64,
    /// Whether published state may have changed since the last call of
    /// [`Self::take_needs_publishing`].
    needs_publishing: bool,
    pub(super) rows_version: u64,
    /// The latest instant at which the known rows were current in the store.
    pub(super) confirmed_at: Option<BootInstant>,
    /// Incarnations that have ended, oldest first.
    pub(super) ended: Vec<EndedTarget>,
    pub(super) leaves: TargetLeaves,
    /// Ids of targets that deregistered while unknown to this process, with the time of the
    /// acknowledgement.
    pub(super) early_deregistrations: Vec<(String, BootInstant)>,
    pub(super) last_store_contact_at: BootInstant,
    pub(super) last_peer_query_at: BootInstant,
    /// When the query to a peer was sent that has neither been answered nor failed yet.
    pub(super) pending_peer_query_at: Option<BootInstant>,
    /// Since when a peer is known to have a newer config than this node.
    pub(super) newer_config_since: Option<BootInstant>,
    /// For how long the process has run, without the time for which it was suspended.
    ran: Duration,
    last_tick_at: BootInstant,
    pub(super) last_probe_at: BootInstant,
    /// Whether a heartbeat of another target than the local one has arrived, so that a health check
    /// is to tell which of them runs.
    pub(super) is_identity_wanted: bool,
    /// When the local target was last to be asked for its health.
    pub(super) health_asked_at: Option<BootInstant>,
    pub(super) eras: StoreEras,
    pub(super) quarantine: Arc<RequestQuarantine>,
    pub(super) quarantine_write: QuarantineWrite,
    pub(super) lease_call_log: LeaseCallLog,
    pub(super) evacuations: Evacuations,
    /// The number of local targets that this process has known, each with its own ids of calls.
    pub(super) local_target_count: u64,
}

/// The assignment of a service as decoded from its row.
#[derive(Debug)]
pub(super) struct AssignmentRecord {
    pub(super) assignment: Arc<Assignment>,
    pub(super) version: u64,
    /// The version of a newer row that cannot be decoded, or that removes the assignment. The keys
    /// may have other owners by it, so the known assignment is not in force any longer.
    pub(super) unreadable_version: Option<u64>,
    /// Targets of which this process has stated, based on this version, that they have ended.
    pub(super) stated_ends: Vec<EndedTarget>,
    /// The longest limits of leases that any row has stated that this process has read.
    pub(super) longest_terms: Option<LeaseTerms>,
    pub(super) vacancy: VacancyTracker,
    /// The version that the write in progress is based on.
    pub(super) pending_write: Option<u64>,
    pub(super) balanced_at: BootInstant,
    /// When targets were last given keys to find out whether their limits have ended.
    pub(super) tried_limits_at: BootInstant,
}

impl ControlState {
    /// Creates the state of a process that started at `started_at`.
    pub fn new(settings: NodeSettings, started_at: BootInstant) -> Self {
        let platform_max_lease = Duration::from_millis(settings.bounds.max_lease_ms);
        let lease_terms = LeaseTerms::new(
            platform_max_lease + ROW_VALIDITY_MARGIN,
            platform_max_lease.min(MAX_LEASE),
        );
        Self {
            node: Arc::from(settings.node_name.as_str()),
            settings,
            started_at,
            lease_terms,
            platform_max_lease,
            routing: None,
            peers: PeerRegistry::new(),
            local: None,
            assignments: FastMap::default(),
            reaches_store: false,
            store_reached_at: None,
            reads_config: false,
            refused_config: None,
            config_confirmation: None,
            announced_config: None,
            synced_at: started_at,
            is_closing: false,
            is_refusing: false,
            local_capacity_milli_per_s: 0,
            local_key_loads: Vec::new(),
            local_limit: None,
            effects: Vec::new(),
            encoded_config: Bytes::new(),
            rows: FastMap::default(),
            row_versions: RowVersions::default(),
            shared_rows: None,
            settings_tree: Arc::default(),
            tree_version: 0,
            needs_publishing: true,
            rows_version: 0,
            confirmed_at: None,
            ended: Vec::new(),
            leaves: TargetLeaves::default(),
            early_deregistrations: Vec::new(),
            last_store_contact_at: started_at,
            last_peer_query_at: started_at,
            pending_peer_query_at: None,
            newer_config_since: None,
            stored_config: None,
            ran: Duration::ZERO,
            last_tick_at: started_at,
            last_probe_at: started_at,
            is_identity_wanted: false,
            health_asked_at: None,
            eras: StoreEras::default(),
            quarantine: Arc::default(),
            quarantine_write: QuarantineWrite::default(),
            lease_call_log: LeaseCallLog::default(),
            evacuations: Evacuations::default(),
            local_target_count: 0,
        }
    }

    /// Shares the quarantine of the process.
    #[must_use]
    pub fn with_quarantine(self, quarantine: Arc<RequestQuarantine>) -> Self {
        Self { quarantine, ..self }
    }

    /// Handles an event and returns the effects to execute.
    pub fn handle(&mut self, event: ControlEvent, now: BootInstant) -> Vec<Effect> {
        match event {
            ControlEvent::Heartbeat { target_id, body, answer } => {
                self.handle_heartbeat(&target_id, &body, answer, now);
            }
            ControlEvent::Deregister { target_id, answer } => {
                self.handle_deregister(&target_id, answer, now);
            }
            ControlEvent::PeerStatus(status) => {
                // Most statuses only show that their sender is alive and need no reconciliation.
                if !self.handle_peer_status(*status, now) && self.effects.is_empty() {
                    return Vec::new();
                }
            }
            ControlEvent::StatusAcknowledged { node, seen, asked_at } => {
                self.record_peer_confirmation(&node, seen, asked_at, now);
                // The next tick publishes it.
                return Vec::new();
            }
            ControlEvent::PeerSyncState { state, asked_at } => {
                self.handle_peer_sync_state(state, asked_at, now);
            }
            ControlEvent::PeerQueryFailed => self.pending_peer_query_at = None,
            ControlEvent::Rows { rows, version, confirmed_at } => {
                self.record_era(era_of(version), now);
                self.apply_rows(rows, now);
                self.record_full_read(era_of(version));
                if era_of(version) == self.eras.in_force() {
                    self.rows_version = self.rows_version.max(version);
                    if let Some(confirmed_at) = confirmed_at {
                        self.record_confirmation(confirmed_at);
                    }
                }
            }
            ControlEvent::StoreEra(era) => self.record_era(era, now),
            ControlEvent::Settled { result } => self.handle_settlement(result, now),
            ControlEvent::RowsMalformed(rows) => self.handle_malformed_rows(&rows),
            ControlEvent::ConfigRead { stored, confirmed_at } => {
                self.handle_config_read(stored, confirmed_at, now);
            }
            ControlEvent::ConfigReadFailed => self.reads_config = false,
            ControlEvent::EvacuationsRead { changes, read_version } => {
                match read_version {
                    Some(version) => self.evacuations.record_read(&changes, version, now),
                    None => {
                        self.evacuations.record_changes(&changes, EvacuationSource::Store, now);
                    }
                }
                self.ask_after_evacuation(now);
            }
            ControlEvent::HealthChecked { target_id, health } => {
                let local = self.local.as_mut().filter(|it| *it.incarnation.id == *target_id);
                if let Some(local) = local {
                    local.health = health;
                }
            }
            ControlEvent::ColdReported { target_id, remaining, asked_at } => {
                let local = self.local.as_mut().filter(|it| *it.incarnation.id == *target_id);
                if let Some(local) = local {
                    local.cold.record_health(remaining, asked_at, now);
                }
            }
            ControlEvent::StoreReached(reached) => self.set_store_reachable(reached, now),
            ControlEvent::Committed { service, assignment, result } => {
                self.handle_commit_result(&service, &assignment, result, now);
            }
            ControlEvent::TargetLeaving { target, since } => self.handle_leave(&target, since, now),
            ControlEvent::LeaveWritten { value, result } => {
                self.handle_leave_written(value, result, now);
            }
            ControlEvent::TargetProbed(probe) => self.handle_probe(&probe, now),
            ControlEvent::LeaseCallEnded { target, id, outcome } => {
                self.handle_lease_call_end(&target, id, outcome, now);
            }
            ControlEvent::KeyDenied { target, key } => self.handle_key_denial(&target, key, now),
            ControlEvent::TargetCrashed => {}
            ControlEvent::QuarantineWritten { value, result } => {
                self.handle_quarantine_written(value, result, now);
            }
            ControlEvent::Settings(settings) => self.settings = *settings,
            ControlEvent::Closing => self.is_closing = true,
            ControlEvent::Refusing => self.is_refusing = true,
        }
        self.needs_publishing = true;
        self.reconcile(now);
        std::mem::take(&mut self.effects)
    }

    /// Advances the state to `now` and returns the effects to execute.
    pub fn tick(&mut self, now: BootInstant) -> Vec<Effect> {
        let ran = self.ran_for(now);
        self.peers.listen(ran.saturating_sub(self.ran), self.reaches_store, now);
        self.ran = ran;
        self.last_tick_at = now;
        self.evacuations.settle(now);
        self.ask_after_evacuation(now);
        self.reconcile(now);
        self.settle_era(now);
        self.probe_silent_target(now);
        self.query_peer_if_needed(now);
        self.needs_publishing = true;
        std::mem::take(&mut self.effects)
    }

    /// Returns whether published state may have changed since the last call, and resets the flag.
    pub fn take_needs_publishing(&mut self) -> bool {
        std::mem::take(&mut self.needs_publishing)
    }

    /// Sets the capacity of the local target and the load of its keys as measured by the traffic
    /// thread.
    pub fn set_local_load(&mut self, capacity_milli_per_s: u64, key_loads: Vec<KeyLoadRecord>) {
        self.local_capacity_milli_per_s = capacity_milli_per_s;
        self.local_key_loads = key_loads;
    }

    /// Sets the request limit that the local target announces.
    pub fn set_local_limit(&mut self, announced: Option<TargetLimit>, now: BootInstant) {
        let earlier = self.local_limit.take();
        let holds_keys = self.local.as_ref().is_some_and(|it| self.holds_keys(&it.service));
        self.local_limit =
            announced.map(|announced| LocalLimit::new(announced, earlier, holds_keys, now));
    }

    /// The settings tree in force.
    pub fn settings_tree(&self) -> &Arc<SettingsTree> {
        &self.settings_tree
    }

    /// The routing table in force, if a config was received.
    pub fn routing(&self) -> Option<&Arc<RoutingTable>> {
        self.routing.as_ref()
    }

    /// Brings assignments and the pending heartbeat in line with the current state.
    fn reconcile(&mut self, now: BootInstant) {
        let keyed_services: Vec<String> = self
            .routing
            .iter()
            .flat_map(|it| it.keyed_services())
            .map(|it| it.name.clone())
            .collect();
        self.request_identity(now);
        let is_planner = self.is_planner(now);
        for service in keyed_services {
            if !self.reaches_store {
                self.state_ends(&service, now);
            }
            self.reconcile_assignment(&service, is_planner, now);
        }
        self.write_quarantine(is_planner);
        self.review_unseen_leave(now);
        self.settle_leaves(now);
        self.reply_to_heartbeat(now);
        self.plan_lease_calls(now);
    }

    /// Requests one write with all changes that the assignment of a service needs.
    fn reconcile_assignment(&mut self, service: &str, is_planner: bool, now: BootInstant) {
        let record = self.assignment_record(service);
        if record.pending_write.is_some()
            || record.unreadable_version.is_some()
            || self.confirmed_at.is_none()
            || !self.reaches_store
            || !self.eras.is_settled()
        {
            return;
        }
        let has_row = self.assignments[service].version > 0;
        if !has_row && !self.may_assign_without_row(now) {
            return;
        }
        let current = self.assignments[service].assignment.clone();
        let mut desired = Assignment::clone(&current);
        if !has_row {
            desired = desired.with_fences_above(self.highest_earlier_fence());
        }
        self.apply_local_facts(service, &mut desired, now);
        if is_planner {
            self.plan_service(service, &mut desired, now);
        }
        if is_planner && (has_row || desired.entries() != current.entries()) {
            self.state_terms(service, &mut desired, now);
        }
        let is_unchanged = desired.entries() == current.entries()
            && desired.terms() == current.terms()
            && desired.terms_statement() == current.terms_statement();
        if is_unchanged {
            return;
        }
        let record = self.assignment_record(service);
        let expected_version = record.version;
        record.pending_write = Some(expected_version);
        log_owner_changes(&self.node, service, expected_version, &current, &desired);
        let service = service.to_owned();
        let expected_era_version = self.expected_era_version();
        self.effects.push(Effect::Commit {
            service,
            expected_version,
            assignment: Box::new(desired),
            expected_era_version,
        });
    }

    /// States the limits of leases in an assignment, and which leases keep them.
    fn state_terms(&self, service: &str, assignment: &mut Assignment, now: BootInstant) {
        let record = &self.assignments[service];
        let longest = self.longest_terms(service);
        assignment.raise_terms(longest);
        if record.version == 0 {
            if self.settings.is_first_start {
                assignment.state_terms_of_all_rows();
            }
            return;
        }
        // A statement is worth a write only if others wait for less because of it.
        let granted = assignment.granted_terms(longest);
        if assignment.terms() == Some(granted) {
            return;
        }
        assignment.state_terms_since(record.version);
        if record.vacancy.have_leases_before_statement_ended(&granted, now) {
            assignment.state_terms_of_all_rows();
        }
    }

    /// The longest limits of leases that this process knows for a service.
    pub(super) fn longest_terms(&self, service: &str) -> LeaseTerms {
        let read = self.assignments.get(service).and_then(|it| it.longest_terms);
        read.map_or(self.lease_terms, |it| it.max(self.lease_terms))
    }

    /// For how long the process has run until `now`. Longer gaps between two ticks count as
    /// suspensions.
    pub(super) fn ran_for(&self, now: BootInstant) -> Duration {
        self.ran + now.saturating_since(self.last_tick_at).min(MAX_TICK_GAP)
    }

    pub(super) const fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms)
    }

    pub(super) fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval() * HEARTBEAT_TIMEOUT_PERCENT / 100
    }

    pub(super) fn holds_keys(&self, service: &str) -> bool {
        let rules = self.routing.as_ref().and_then(|it| it.service(service));
        rules.is_some_and(|it| it.holds_keys)
    }

    pub(super) fn local_owner(&self) -> Option<Owner> {
        let local = self.local.as_ref()?;
        Some(Owner::new(local.incarnation.clone(), self.node.clone()))
    }
}

impl AssignmentRecord {
    /// Whether this process has stated, based on this version, that a target is gone. The statement
    /// may take effect at any later time, so the target gets no more leases on this version.
    pub(super) fn is_stated_gone(&self, target: &TargetIncarnation) -> bool {
        self.stated_ends.iter().any(|it| it.incarnation == *target && it.evidence.is_final())
    }
}
