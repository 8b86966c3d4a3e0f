//! Applies input from the store and from other nodes: rows, config, statuses and results of writes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{MalformedRow, RoutingConfig, Row, StoreError, era_of};
use galenastream_ranges::{Assignment, LeaseTerms, VacancyTracker};
use galenastream_settings::SettingsTree;
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeRow, NodeStatus, SharedRow, SharedRowKey, SyncState};
use prost::Message;

use super::Effect;
use super::control_state::{AssignmentRecord, ControlState};
use super::peer_book::REACHABILITY_TIMEOUT;
use crate::version::RoutingTable;

/// How long the store may be unreachable before a peer is queried instead.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

/// Number of nodes that follow the shared rows in the store: the planner and one standby.
const ROW_READERS: usize = 2;

/// How long after its start a node does not follow the shared rows. All nodes of a deployment start
/// within a shorter time.
const STARTUP_TIME: Duration = Duration::from_millis(1_200);

/// Age of the last confirmation of the rows at which a node queries a peer for a newer one.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// How long a node whose target holds keys goes without an answer of a reader before it reads the
/// store itself.
const READER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How long a node that reaches the store waits for a newer config from there before it queries a
/// peer. A config may be large, and all nodes learn of it at the same time.
const CONFIG_QUERY_DELAY: Duration = Duration::from_millis(600);

/// Time after which a query counts as lost if neither its answer nor its failure has arrived.
const QUERY_LOSS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum interval between queries for newer rows or a newer config that a status has announced.
const NEWER_ROWS_QUERY_INTERVAL: Duration = Duration::from_millis(30);

/// Minimum interval between queries to peers while the store is unreachable or a confirmation is
/// needed.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(800);

/// Where a config came from.
#[derive(Debug, Clone, Copy)]
pub(super) enum ConfigSource {
    /// The store.
    Store {
        /// The version of the row that holds it.
        row_version: u64,
    },
    /// Another node.
    Peer,
}

impl ControlState {
    /// Handles the status of another node. Returns whether it differs from the last one, or the
    /// node was unreachable before.
    pub(super) fn handle_peer_status(&mut self, status: NodeStatus, now: BootInstant) -> bool {
        if status.node == *self.node {
            return false;
        }
        let mut status = status;
        self.merge_suspects(&std::mem::take(&mut status.suspects), now);
        self.evacuations.merge(&status.evacuations, now);
        self.ask_after_evacuation(now);
        self.record_announced_config(status.config_version, now);
        let node = status.node.clone();
        let has_newer_state = self.needs_config_of(&status, now)
            || status.rows_version > self.rows_version
                && !(self.reaches_store && self.reads_rows(now));
        let is_changed = self.peers.record_status(status, now);
        if is_changed {
            log::debug!(event = "node_changed", node = node.as_str(); "");
        }
        let queried_recently =
            now.saturating_since(self.last_peer_query_at) < NEWER_ROWS_QUERY_INTERVAL;
        if has_newer_state && !queried_recently && !self.is_query_pending(now) {
            self.query_peer(node, now);
        }
        is_changed
    }

    /// Whether a peer's status announces a config that this node has to get from a peer: it does
    /// not reach the store, or the store has not delivered the config for a while.
    fn needs_config_of(&mut self, status: &NodeStatus, now: BootInstant) -> bool {
        if status.config_version <= self.config_version() {
            return false;
        }
        let since = *self.newer_config_since.get_or_insert(now);
        let is_overdue = now.saturating_since(since) >= CONFIG_QUERY_DELAY;
        is_overdue || !self.reaches_store || self.routing.is_none()
    }

    /// Whether a query to a peer is in progress. Answers carry the complete config and all rows, so
    /// several at once could fill the link of this node, and none would arrive in time.
    fn is_query_pending(&self, now: BootInstant) -> bool {
        let asked_at = self.pending_peer_query_at;
        asked_at.is_some_and(|it| now.saturating_since(it) < QUERY_LOSS_TIMEOUT)
    }

    fn query_peer(&mut self, node: String, now: BootInstant) {
        self.last_peer_query_at = now;
        self.pending_peer_query_at = Some(now);
        self.effects.push(Effect::QueryPeer { node });
    }

    pub(super) fn handle_peer_sync_state(
        &mut self,
        state: SyncState,
        asked_at: BootInstant,
        now: BootInstant,
    ) {
        self.pending_peer_query_at = None;
        if !state.config.is_empty() {
            match RoutingConfig::decode(&state.config) {
                Ok(config) => {
                    self.apply_config(config, state.config, ConfigSource::Peer, now);
                }
                Err(error) => log::warn!(event = "config_refused", reason:% = error; ""),
            }
        }
        let rows = state.rows.into_iter().map(|it| Row {
            key: it.key,
            value: (!it.is_removed).then_some(it.value),
            version: it.version,
        });
        self.apply_rows(rows.collect(), now);
        self.synced_at = asked_at;
        let is_in_force = era_of(state.rows_version) == self.eras.in_force();
        let is_confirmation = state.confirmed_age_ms != u64::MAX && is_in_force;
        if is_confirmation && state.rows_version >= self.rows_version {
            self.rows_version = state.rows_version;
            let age_ns = state.confirmed_age_ms.saturating_mul(1_000_000);
            self.record_confirmation(BootInstant::new(asked_at.as_ns().saturating_sub(age_ns)));
        }
    }

    /// Puts a config in force if it is newer than the one before.
    pub(super) fn apply_config(
        &mut self,
        config: RoutingConfig,
        encoded: Bytes,
        source: ConfigSource,
        now: BootInstant,
    ) {
        if config.version.0 <= self.config_version() && self.routing.is_some() {
            return;
        }
        let (source, row_version) = match source {
            ConfigSource::Store { row_version } => ("store", Some(row_version)),
            ConfigSource::Peer => ("peer", None),
        };
        log::info!(
            event = "config_in_force",
            version = config.version.0,
            before = self.config_version(),
            routes = config.routes.len(),
            source,
            row_version;
            ""
        );
        self.newer_config_since = None;
        self.encoded_config = encoded;
        self.routing = Some(Arc::new(RoutingTable::new(config).with_in_force_since(now)));
    }

    pub(super) fn apply_rows(&mut self, rows: Vec<Row>, now: BootInstant) {
        let mut rows = rows;
        for row in &rows {
            self.record_era(era_of(row.version), now);
            self.row_versions.record(&row.key, row.version);
        }
        // The row that names the era in force decides what the others mean.
        let era_key = SharedRowKey::Era.key();
        let era_rows = rows.iter().filter(|it| it.key == era_key);
        if let Some(era_row) = era_rows.max_by_key(|it| it.version).cloned() {
            rows.extend(self.apply_era_row(&era_row));
        }
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |it| it.version);
            if row.version <= known || self.hold_back(&row) {
                continue;
            }
            self.apply_row(&row, now);
            self.rows.insert(row.key.clone(), row);
            self.shared_rows = None;
        }
    }

    /// Takes assignments out of force whose newest rows cannot be decoded.
    pub(super) fn handle_malformed_rows(&mut self, rows: &[MalformedRow]) {
        for row in rows {
            let Some(SharedRowKey::Assignment(service)) = SharedRowKey::parse(&row.key) else {
                continue;
            };
            let record = self.assignment_record(service);
            if row.version > record.version {
                log::warn!(event = "keys_row_malformed", service, reason = "malformed row"; "");
                record.unreadable_version = record.unreadable_version.max(Some(row.version));
            }
        }
    }

    /// Whether the store has a newer row of an assignment than the one that this node could pass on.
    pub(super) fn misses_newer_row(&self) -> bool {
        self.assignments.iter().any(|(service, record)| {
            let passed_on = self.rows.get(&SharedRowKey::Assignment(service).key());
            record.unreadable_version > Some(passed_on.map_or(0, |it| it.version))
        })
    }

    /// Puts a settings tree in force. An invalid tree is refused, and the current one stays in
    /// force.
    fn apply_settings_tree(&mut self, row: &Row) {
        let version = row.version;
        let source = format!("version {version}");
        let Some(value) = &row.value else {
            log::info!(event = "tree_removed", version; "");
            self.settings_tree = Arc::default();
            return;
        };
        match SettingsTree::parse(&source, &String::from_utf8_lossy(value)) {
            Ok(tree) => {
                log::info!(event = "tree_in_force", version, services = tree.services().len(); "");
                self.settings_tree = Arc::new(tree);
                self.tree_version = version;
            }
            Err(errors) => log::warn!(event = "tree_refused", version, reason:% = errors; ""),
        }
    }

    /// The rows in the form that is sent to other nodes.
    pub(super) fn shared_rows(&mut self) -> Arc<[SharedRow]> {
        if let Some(shared) = &self.shared_rows {
            return shared.clone();
        }
        let rows = self.rows.values().filter_map(|it| {
            let is_assignment =
                matches!(SharedRowKey::parse(&it.key), Some(SharedRowKey::Assignment(_)));
            let is_removed = it.value.is_none();
            // The others hold no leases.
            if is_removed && !is_assignment {
                return None;
            }
            let value = it.value.clone().unwrap_or_default();
            Some(SharedRow { key: it.key.clone(), value, version: it.version, is_removed })
        });
        let shared: Arc<[SharedRow]> = rows.collect();
        self.shared_rows = Some(shared.clone());
        shared
    }

    pub(super) fn apply_row(&mut self, row: &Row, now: BootInstant) {
        match SharedRowKey::parse(&row.key) {
            Some(SharedRowKey::Node(node)) if node == &*self.node => {}
            Some(SharedRowKey::Node(node)) => match row.value.clone().map(NodeRow::decode) {
                Some(Ok(decoded)) => self.peers.record_row(node, &decoded),
                Some(Err(error)) => {
                    log::warn!(event = "node_row_malformed", node, reason:% = error; "");
                }
                None => self.peers.remove(node),
            },
            Some(SharedRowKey::Assignment(service)) => {
                let decoded = row.value.as_deref().map(Assignment::decode_row);
                match decoded {
                    Some(Ok(it)) => self.apply_assignment(service, it, row.version, now),
                    Some(Err(error)) => {
                        log::warn!(event = "keys_row_malformed", service, reason:% = error; "");
                        self.assignment_record(service).unreadable_version = Some(row.version);
                    }
                    None => {
                        log::warn!(event = "keys_row_removed", service; "");
                        self.assignment_record(service).unreadable_version = Some(row.version);
                    }
                }
            }
            Some(SharedRowKey::Leave(node)) if node == &*self.node => self.apply_leave_row(row),
            // The node beside the target tells the others.
            Some(SharedRowKey::Leave(_)) => {}
            Some(SharedRowKey::SettingsTree) => self.apply_settings_tree(row),
            Some(SharedRowKey::Quarantine) => self.apply_quarantine(row, now),
            // Applied before all other rows.
            Some(SharedRowKey::Era) => {}
            None => log::warn!(event = "row_unknown", key = row.key.as_str(); ""),
        }
    }

    pub(super) fn apply_assignment(
        &mut self,
        service: &str,
        assignment: Assignment,
        version: u64,
        now: BootInstant,
    ) {
        let mut assignment = assignment;
        let known_version = self.assignment_record(service).version;
        if version <= known_version {
            return;
        }
        let key = SharedRowKey::Assignment(service).key();
        let is_next_version = self.row_versions.are_adjacent(&key, known_version, version);
        let record = self.assignment_record(service);
        // Programs of earlier versions drop what they do not know from the rows that they write.
        if is_next_version {
            assignment.continue_from(&record.assignment);
        }
        let terms = [record.longest_terms, assignment.terms()];
        record.longest_terms = terms.into_iter().flatten().reduce(LeaseTerms::max);
        let returned_to = record.assignment.returned_to(&assignment);
        record.vacancy.observe(&assignment, now);
        record.version = version;
        record.unreadable_version = record.unreadable_version.filter(|it| *it > version);
        record.stated_ends.clear();
        log::info!(
            event = "assignment_known",
            service,
            version,
            entries = assignment.entries().len(),
            leaving = assignment.entries().iter().filter(|it| it.holding.leaving_owner().is_some()).count();
            ""
        );
        record.assignment = Arc::new(assignment);
        // Only the node beside a target cancels moves away from it.
        for node in returned_to {
            self.peers.record_sign_of_life(&node);
        }
    }

    pub(super) fn assignment_record(&mut self, service: &str) -> &mut AssignmentRecord {
        self.assignments.entry(service.to_owned()).or_insert_with(|| AssignmentRecord {
            assignment: Arc::default(),
            version: 0,
            unreadable_version: None,
            stated_ends: Vec::new(),
            longest_terms: None,
            vacancy: VacancyTracker::new(),
            pending_write: None,
            balanced_at: BootInstant::default(),
            tried_limits_at: BootInstant::default(),
        })
    }

    pub(super) fn handle_commit_result(
        &mut self,
        service: &str,
        assignment: &Assignment,
        result: Result<u64, StoreError>,
        now: BootInstant,
    ) {
        let based_on = self.assignment_record(service).pending_write.take();
        match result {
            Ok(row_version) => {
                log::info!(event = "assignment_written", service, row_version, based_on; "");
                let value = Bytes::from(assignment.encode_row());
                let row = Row {
                    key: SharedRowKey::Assignment(service).key(),
                    value: Some(value),
                    version: row_version,
                };
                self.apply_rows(vec![row], now);
            }
            Err(StoreError::Conflict { rows }) => self.apply_rows(rows, now),
            Err(error) => {
                log::warn!(event = "assignment_write_failed", service, reason:% = error; "");
                self.set_store_reachable(false, now);
            }
        }
    }

    /// Handles an [`Effect::Commit`] that was not carried out. The change is planned again.
    pub fn handle_dropped_commit(&mut self, service: &str) {
        self.assignment_record(service).pending_write = None;
    }

    pub(super) fn record_confirmation(&mut self, confirmed_at: BootInstant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(confirmed_at, |it| it.max(confirmed_at)));
    }

    pub(super) fn set_store_reachable(&mut self, reached: bool, now: BootInstant) {
        if reached != self.reaches_store {
            log::info!(event = if reached { "store_reached" } else { "store_lost" }; "");
        }
        self.reaches_store = reached;
        if reached {
            self.store_reached_at.get_or_insert(now);
            self.last_store_contact_at = now;
        }
    }

    /// Queries the reader with the newest rows if this node has to rely on peers: for rows that it
    /// misses, or for the confirmation that its rows are current, on which the leases of its target
    /// depend.
    pub(super) fn query_peer_if_needed(&mut self, now: BootInstant) {
        let is_cut_off = !self.reaches_store
            && now.saturating_since(self.last_store_contact_at) >= STORE_OUTAGE_THRESHOLD;
        let needs_leases = self.local.as_ref().is_some_and(|it| self.holds_keys(&it.service));
        let max_age = self.confirmation_interval(MAX_CONFIRMATION_AGE);
        let is_stale = self.confirmed_at.is_none_or(|it| now.saturating_since(it) >= max_age);
        let needs_confirmation = needs_leases && is_stale && !self.reads_rows(now);
        let since_query = now.saturating_since(self.last_peer_query_at);
        let is_due = (is_cut_off || needs_confirmation)
            && since_query >= self.confirmation_interval(PEER_QUERY_INTERVAL);
        let is_behind = !self.reads_rows(now)
            && since_query >= NEWER_ROWS_QUERY_INTERVAL
            && self.is_behind(now);
        if !is_due && !is_behind || self.is_query_pending(now) {
            return;
        }
        let readers = self.peers.iter().filter(|(_, it)| it.is_reachable(now) && it.is_reader());
        let newest =
            readers.max_by_key(|(_, it)| it.status.as_ref().map_or(0, |it| it.rows_version));
        let Some((node, _)) = newest else {
            return;
        };
        let node = node.to_string();
        self.query_peer(node, now);
    }

    /// Whether a reachable reader has newer rows than this node.
    fn is_behind(&self, now: BootInstant) -> bool {
        self.peers.iter().any(|(_, peer)| {
            let rows_version = peer.status.as_ref().map_or(0, |it| it.rows_version);
            rows_version > self.rows_version && peer.is_reader() && peer.is_reachable(now)
        })
    }

    /// Whether this node follows the shared rows in the store itself.
    ///
    /// Only the first nodes by name do, since each change costs a call per reader. A node whose
    /// target holds keys joins them when no reader has answered it for a while.
    ///
    /// While a deployment starts, no node follows the rows: every node writes its own row then,
    /// which would wake all readers each time. Nodes exchange statuses directly in the meantime.
    pub fn reads_rows(&self, now: BootInstant) -> bool {
        if now.saturating_since(self.started_at) < STARTUP_TIME {
            return false;
        }
        // Until statuses have told which nodes read, those that reach the store are about to. Otherwise
        // all nodes would read for a moment, and readers would not notify those that no longer do.
        let knows_readers =
            now.saturating_since(self.started_at) >= STARTUP_TIME + REACHABILITY_TIMEOUT;
        let ahead = self.peers.iter().filter(|(name, it)| {
            let reads = it.is_reader() || !knows_readers && it.reaches_store();
            ***name < *self.node && it.is_reachable(now) && reads
        });
        if ahead.count() < ROW_READERS {
            return true;
        }
        let needs_leases = self.local.as_ref().is_some_and(|it| self.holds_keys(&it.service));
        needs_leases && now.saturating_since(self.synced_at) > READER_TIMEOUT
    }

    pub(super) fn config_version(&self) -> u64 {
        self.routing.as_ref().map_or(0, |it| it.version.0)
    }
}
