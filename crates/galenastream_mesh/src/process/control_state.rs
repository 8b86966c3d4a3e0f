//! The control state of a node: what it believes of targets, leases, nodes and the store.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{
    Grant, Heartbeat, HeartbeatReply, NodeSettings, RoutingConfig, Row, StoreError, TargetState,
};
use galenastream_ownership::{BootInstant, FastMap};
use galenastream_ranges::{
    Assignment, Holding, KeyRange, LeaseTerms, Owner, RangeEntry, TargetIncarnation, VacancyWatch,
};
use galenastream_routing::NodeKey;
use galenastream_wire::{
    IncarnationRecord, KeyLoadRecord, NodeStatus, OwnershipFacts, ReleaseRecord, SharedRow,
    SyncState, TargetStatus,
};
use prost::Message;
use tokio::sync::oneshot;

use super::{
    ControlEvent, Directory, Effect, HeartbeatAnswer, HeldLeases, LocalTarget, NodeEntry,
    SyncSnapshot, TargetEntry,
    fleet_rows::{FleetRow, NodeRow, keys_row},
    local_target::{LocalRecord, OpenHeartbeat},
    peer_book::PeerBook,
};
use crate::version::RoutingTable;

/// The longest lease that a node grants: longer than the restart of a process, short enough to wait
/// out when a target falls silent.
const LONGEST_LEASE: Duration = Duration::from_millis(6_000);

/// How much longer than a lease a row is trusted: outages of the store last up to nine seconds, and
/// a heartbeat is answered with what is left.
const TRUST_BEYOND_LONGEST_HOLD: Duration = Duration::from_millis(2_000);

/// For how long a heartbeat is left open while keys are on their way to the target. Targets wait a
/// second for the answer.
const OPEN_HEARTBEAT: Duration = Duration::from_millis(700);

/// Share of the interval between heartbeats for which one is left open, in hundredths.
const OPEN_HEARTBEAT_PERCENT: u32 = 75;

/// A target that sent no heartbeat for this many intervals, in hundredths, is silent.
const SILENT_AFTER_PERCENT: u32 = 250;

/// How long the store may be out of reach before a peer is asked instead.
const ASK_PEER_AFTER: Duration = Duration::from_millis(600);

/// Interval between two questions to peers while the store is out of reach.
const ASK_PEER_INTERVAL: Duration = Duration::from_millis(800);

/// Ended incarnations that are remembered.
const MAX_ENDED: usize = 16;

/// The control state of a node. Events and the time go in; effects come out.
#[derive(Debug)]
pub struct ControlState {
    pub(super) node: Arc<str>,
    pub(super) settings: NodeSettings,
    pub(super) started_at: BootInstant,
    pub(super) terms: LeaseTerms,
    pub(super) routing: Option<Arc<RoutingTable>>,
    pub(super) peers: PeerBook,
    pub(super) local: Option<LocalRecord>,
    pub(super) assignments: FastMap<String, AssignmentRecord>,
    pub(super) reaches_store: bool,
    pub(super) is_closing: bool,
    pub(super) local_capacity_milli_per_s: u64,
    pub(super) local_key_loads: Vec<KeyLoadRecord>,
    pub(super) effects: Vec<Effect>,
    encoded_config: Bytes,
    rows: FastMap<String, Row>,
    rows_version: u64,
    confirmed_at: Option<BootInstant>,
    ended: Vec<TargetIncarnation>,
    last_store_contact_at: BootInstant,
    asked_peer_at: BootInstant,
    probed_at: BootInstant,
}

/// The assignment of a service as its row shows it.
#[derive(Debug)]
pub(super) struct AssignmentRecord {
    pub(super) assignment: Arc<Assignment>,
    pub(super) version: u64,
    pub(super) vacancy: VacancyWatch,
    pub(super) is_writing: bool,
    pub(super) balanced_at: BootInstant,
}

impl ControlState {
    /// Creates the state of a process that starts.
    pub fn new(settings: NodeSettings, started_at: BootInstant) -> Self {
        let max_hold = Duration::from_millis(settings.bounds.max_hold_ms);
        let terms =
            LeaseTerms::new(max_hold + TRUST_BEYOND_LONGEST_HOLD, max_hold.min(LONGEST_LEASE));
        Self {
            node: Arc::from(settings.node_name.as_str()),
            settings,
            started_at,
            terms,
            routing: None,
            peers: PeerBook::new(),
            local: None,
            assignments: FastMap::default(),
            reaches_store: false,
            is_closing: false,
            local_capacity_milli_per_s: 0,
            local_key_loads: Vec::new(),
            effects: Vec::new(),
            encoded_config: Bytes::new(),
            rows: FastMap::default(),
            rows_version: 0,
            confirmed_at: None,
            ended: Vec::new(),
            last_store_contact_at: started_at,
            asked_peer_at: started_at,
            probed_at: started_at,
        }
    }

    /// Takes an event in and returns what is to be done.
    pub fn handle(&mut self, event: ControlEvent, now: BootInstant) -> Vec<Effect> {
        match event {
            ControlEvent::Heartbeat { target_id, body, answer } => {
                self.take_heartbeat(&target_id, &body, answer, now);
            }
            ControlEvent::Deregister { target_id, answer } => {
                self.take_leave(&target_id, answer, now);
            }
            ControlEvent::PeerStatus(status) => self.take_status(status, now),
            ControlEvent::PeerState { state, asked_at } => {
                self.take_peer_state(state, asked_at, now);
            }
            ControlEvent::Rows { rows, version, confirmed_at } => {
                self.take_rows(rows, now);
                self.rows_version = self.rows_version.max(version);
                self.confirm(confirmed_at);
            }
            ControlEvent::Config { config, encoded } => self.take_config(*config, encoded),
            ControlEvent::StoreReached(reached) => self.note_store(reached, now),
            ControlEvent::Committed { service, assignment, result } => {
                self.take_commit(&service, *assignment, result, now);
            }
            ControlEvent::TargetRefused => self.end_local("connection refused"),
            ControlEvent::Closing => self.is_closing = true,
        }
        self.settle(now);
        std::mem::take(&mut self.effects)
    }

    /// Lets time pass and returns what is to be done.
    pub fn tick(&mut self, now: BootInstant) -> Vec<Effect> {
        self.settle(now);
        self.watch_local(now);
        self.watch_store(now);
        std::mem::take(&mut self.effects)
    }

    /// Notes what the traffic thread measured of the target beside this node.
    pub fn set_local_load(&mut self, capacity_milli_per_s: u64, key_loads: Vec<KeyLoadRecord>) {
        self.local_capacity_milli_per_s = capacity_milli_per_s;
        self.local_key_loads = key_loads;
    }

    /// The routes in force.
    pub fn routing(&self) -> Option<&Arc<RoutingTable>> {
        self.routing.as_ref()
    }

    fn take_heartbeat(
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
            return refuse(answer, target_id, format!("address {} is not beside", heartbeat.address));
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
    fn accept_incarnation(
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
    fn is_successor(&self, local: &LocalRecord, heartbeat: &Heartbeat, now: BootInstant) -> bool {
        match heartbeat.born_ms.cmp(&local.incarnation.born_ms) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => local.is_silent(now, self.silent_after() / 2),
        }
    }

    fn take_leave(
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

    fn take_status(&mut self, status: NodeStatus, now: BootInstant) {
        if status.node == *self.node {
            return;
        }
        let node = status.node.clone();
        let is_newer = status.config_version > self.config_version()
            || status.rows_version > self.rows_version && !self.reaches_store;
        if self.peers.hear(status, now) {
            log::debug!(event = "node_changed", node = node.as_str(); "");
        }
        let asked_lately = now.saturating_since(self.asked_peer_at) < ASK_PEER_INTERVAL / 4;
        if is_newer && !asked_lately {
            self.asked_peer_at = now;
            self.effects.push(Effect::AskPeer { node });
        }
    }

    fn take_peer_state(&mut self, state: SyncState, asked_at: BootInstant, now: BootInstant) {
        if !state.config.is_empty() {
            match RoutingConfig::decode(&state.config) {
                Ok(config) => self.take_config(config, state.config),
                Err(error) => log::warn!(event = "config_refused", reason:% = error; ""),
            }
        }
        let rows = state.rows.into_iter().map(|it| Row {
            key: it.key,
            value: Some(it.value),
            version: it.version,
        });
        self.take_rows(rows.collect(), now);
        if state.confirmed_age_ms != u64::MAX && state.rows_version >= self.rows_version {
            self.rows_version = state.rows_version;
            let age_ns = state.confirmed_age_ms.saturating_mul(1_000_000);
            self.confirm(BootInstant::new(asked_at.as_ns().saturating_sub(age_ns)));
        }
    }

    fn take_config(&mut self, config: RoutingConfig, encoded: Bytes) {
        if config.version.0 <= self.config_version() && self.routing.is_some() {
            return;
        }
        log::info!(
            event = "config_in_force",
            version = config.version.0,
            before = self.config_version(),
            routes = config.routes.len();
            ""
        );
        self.encoded_config = encoded;
        self.routing = Some(Arc::new(RoutingTable::new(config)));
    }

    fn take_rows(&mut self, rows: Vec<Row>, now: BootInstant) {
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |it| it.version);
            if row.version <= known {
                continue;
            }
            self.take_row(&row, now);
            self.rows.insert(row.key.clone(), row);
        }
    }

    fn take_row(&mut self, row: &Row, now: BootInstant) {
        match FleetRow::parse(row) {
            FleetRow::Node(node) if node == &*self.node => {}
            FleetRow::Node(node) => match row.value.clone().map(NodeRow::decode) {
                Some(Ok(decoded)) => self.peers.list(node, &decoded),
                Some(Err(error)) => log::warn!(event = "node_row_malformed", node, reason:% = error; ""),
                None => self.peers.remove(node),
            },
            FleetRow::Keys(service) => {
                let decoded = row.value.as_deref().map(Assignment::decode_row);
                match decoded {
                    Some(Ok(assignment)) => self.adopt(service, assignment, row.version, now),
                    Some(Err(error)) => {
                        log::warn!(event = "keys_row_malformed", service, reason:% = error; "");
                    }
                    None => log::warn!(event = "keys_row_removed", service; ""),
                }
            }
            FleetRow::Unknown => log::warn!(event = "row_unknown", key = row.key.as_str(); ""),
        }
    }

    fn adopt(&mut self, service: &str, assignment: Assignment, version: u64, now: BootInstant) {
        let record = self.assignment_record(service);
        if version <= record.version {
            return;
        }
        record.vacancy.observe(&assignment, now);
        record.version = version;
        log::info!(
            event = "assignment_known",
            service,
            version,
            entries = assignment.entries().len(),
            leaving = assignment.entries().iter().filter(|it| it.holding.leaver().is_some()).count();
            ""
        );
        record.assignment = Arc::new(assignment);
    }

    pub(super) fn assignment_record(&mut self, service: &str) -> &mut AssignmentRecord {
        self.assignments.entry(service.to_owned()).or_insert_with(|| AssignmentRecord {
            assignment: Arc::new(Assignment::new()),
            version: 0,
            vacancy: VacancyWatch::new(),
            is_writing: false,
            balanced_at: BootInstant::default(),
        })
    }

    fn take_commit(
        &mut self,
        service: &str,
        assignment: Assignment,
        result: Result<u64, StoreError>,
        now: BootInstant,
    ) {
        self.assignment_record(service).is_writing = false;
        match result {
            Ok(version) => {
                let value = Bytes::from(assignment.encode_row());
                let row = Row { key: keys_row(service), value: Some(value), version };
                self.take_rows(vec![row], now);
            }
            Err(StoreError::Conflict { rows }) => self.take_rows(rows, now),
            Err(error) => {
                log::warn!(event = "assignment_write_failed", service, reason:% = error; "");
            }
        }
    }

    fn confirm(&mut self, confirmed_at: BootInstant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(confirmed_at, |it| it.max(confirmed_at)));
    }

    fn note_store(&mut self, reached: bool, now: BootInstant) {
        if reached != self.reaches_store {
            log::info!(event = if reached { "store_reached" } else { "store_lost" }; "");
        }
        self.reaches_store = reached;
        if reached {
            self.last_store_contact_at = now;
        }
    }

    /// Forgets the target beside this node, since it has provably ended.
    fn end_local(&mut self, why: &'static str) {
        let Some(mut local) = self.local.take() else {
            return;
        };
        log::info!(event = "target_ended", target:% = local.incarnation, why; "");
        local.answer(HeartbeatReply::Acknowledged);
        self.ended.push(local.incarnation);
        if self.ended.len() > MAX_ENDED {
            self.ended.remove(0);
        }
    }

    /// Brings everything in line with what is believed now.
    fn settle(&mut self, now: BootInstant) {
        let keyed: Vec<String> = self.routing.iter().flat_map(|it| it.keyed_services()).map(|it| it.name.clone()).collect();
        let is_planner = self.is_planner(now);
        for service in keyed {
            self.settle_service(&service, is_planner, now);
        }
        self.answer_heartbeat(now);
    }

    /// Writes what has to change in the assignment of a service, in one step.
    fn settle_service(&mut self, service: &str, is_planner: bool, now: BootInstant) {
        let record = self.assignment_record(service);
        if record.is_writing || self.confirmed_at.is_none() || !self.reaches_store {
            return;
        }
        let before = self.assignments[service].assignment.clone();
        let mut after = Assignment::clone(&before);
        self.apply_local_facts(service, &mut after, now);
        if is_planner {
            self.plan_service(service, &mut after, now);
        }
        if after == *before {
            return;
        }
        let record = self.assignment_record(service);
        record.is_writing = true;
        let expected_version = record.version;
        let service = service.to_owned();
        self.effects.push(Effect::Commit { service, expected_version, assignment: Box::new(after) });
    }

    /// Applies what this node alone knows of the target beside it.
    fn apply_local_facts(&self, service: &str, assignment: &mut Assignment, now: BootInstant) {
        for target in self.ended_holders(assignment, now) {
            log::info!(event = "owner_removed", service, target:% = target; "");
            assignment.remove_owner(&target);
        }
        let Some(local) = self.local.as_ref().filter(|it| &*it.service == service) else {
            return;
        };
        let is_staying = local.leave_acknowledged_at.is_none() && !self.is_closing;
        let is_unplanned =
            |it: &RangeEntry| matches!(it.holding, Holding::Leaving { to: None, .. });
        if is_staying && assignment.leaving(&local.incarnation).any(is_unplanned) {
            assignment.cancel_moves(&local.incarnation);
            return;
        }
        for (range, handover) in released_pieces(local, assignment) {
            assignment.complete_move(&local.incarnation, range, &handover);
        }
    }

    /// Owners beside this node that have provably ended.
    fn ended_holders(&self, assignment: &Assignment, now: BootInstant) -> Vec<TargetIncarnation> {
        let holders = assignment.holders().into_iter();
        let ended = holders.filter(|it| it.node == self.node && self.has_ended(&it.target, now));
        ended.map(|it| it.target).collect()
    }

    /// What this node would write if it reached the store.
    fn facts(&self, now: BootInstant) -> Vec<OwnershipFacts> {
        if self.reaches_store {
            return Vec::new();
        }
        let mut facts = Vec::new();
        for (service, record) in &self.assignments {
            let local = self.local.as_ref().filter(|it| *it.service == **service);
            let pieces = local.map(|it| released_pieces(it, &record.assignment));
            let releases = pieces.into_iter().flatten().map(|(range, handover)| ReleaseRecord {
                first: u32::from(range.first),
                last: u32::from(range.last),
                handover,
            });
            let ended = self.ended_holders(&record.assignment, now).into_iter();
            let ended = ended
                .map(|it| IncarnationRecord { id: it.id.to_string(), born_ms: it.born_ms });
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
    fn has_ended(&self, target: &TargetIncarnation, now: BootInstant) -> bool {
        if self.ended.contains(target) {
            return true;
        }
        match &self.local {
            Some(local) if local.incarnation == *target => {
                local.is_silent(now, self.silent_after()) && now >= local.leases_end_at
            }
            // Two heartbeats: one alone may have been delayed since an earlier life.
            Some(local) => {
                local.heartbeats >= 2 && local.incarnation.born_ms >= target.born_ms
            }
            None => now >= self.terms.inherited_end(self.started_at),
        }
    }

    /// Answers the open heartbeat once nothing is on its way to the target, or time is up.
    fn answer_heartbeat(&mut self, now: BootInstant) {
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

    fn lease_reply(
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

    /// Looks after a target whose heartbeats have stopped.
    fn watch_local(&mut self, now: BootInstant) {
        let silent_after = self.silent_after();
        let is_silent = match &self.local {
            Some(local) => local.is_silent(now, silent_after / 2),
            None => true,
        };
        let probed_lately = now.saturating_since(self.probed_at) < silent_after / 4;
        if is_silent && !probed_lately {
            self.probed_at = now;
            self.effects.push(Effect::ProbeTarget);
        }
    }

    /// Asks a peer while the store is out of reach.
    fn watch_store(&mut self, now: BootInstant) {
        if self.reaches_store
            || now.saturating_since(self.last_store_contact_at) < ASK_PEER_AFTER
            || now.saturating_since(self.asked_peer_at) < ASK_PEER_INTERVAL
        {
            return;
        }
        let reaching = |status: &NodeStatus| status.reaches_store && !status.is_closing;
        let peers = self.peers.iter().filter(|(_, it)| it.is_heard(now));
        let candidate = peers
            .filter(|(_, it)| it.status.as_ref().is_some_and(reaching))
            .max_by_key(|(_, it)| it.status.as_ref().map_or(0, |it| it.rows_version));
        let Some((node, _)) = candidate else {
            return;
        };
        let node = node.to_string();
        self.asked_peer_at = now;
        self.effects.push(Effect::AskPeer { node });
    }

    fn open_heartbeat_for(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.heartbeat_ms);
        OPEN_HEARTBEAT.min(interval * OPEN_HEARTBEAT_PERCENT / 100)
    }

    pub(super) fn silent_after(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms) * SILENT_AFTER_PERCENT / 100
    }

    pub(super) fn is_keyed(&self, service: &str) -> bool {
        let rules = self.routing.as_ref().and_then(|it| it.service(service));
        rules.is_some_and(|it| it.holds_keys)
    }

    fn config_version(&self) -> u64 {
        self.routing.as_ref().map_or(0, |it| it.version.0)
    }

    /// What this node says of itself.
    pub fn status(&self, now: BootInstant) -> NodeStatus {
        NodeStatus {
            node: self.node.to_string(),
            started_boot_ns: self.started_at.as_ns(),
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.listeners.peers.to_string(),
            target: self.local.as_ref().map(|it| self.target_status(it, now)),
            config_version: self.config_version(),
            is_closing: self.is_closing,
            reaches_store: self.reaches_store,
            rows_version: self.rows_version,
            facts: self.facts(now),
        }
    }

    fn target_status(&self, local: &LocalRecord, now: BootInstant) -> TargetStatus {
        TargetStatus {
            service: local.service.to_string(),
            id: local.incarnation.id.to_string(),
            born_ms: local.incarnation.born_ms,
            slots: local.slots,
            is_draining: local.leave_acknowledged_at.is_some(),
            is_silent: local.is_silent(now, self.silent_after()),
            capacity_milli_per_s: self.local_capacity_milli_per_s,
            key_loads: self.local_key_loads.clone(),
        }
    }

    /// What the traffic thread needs to know.
    pub fn directory(&self, now: BootInstant) -> Directory {
        let mut nodes = vec![self.local_entry()];
        let planner = self.planner(now);
        for (name, peer) in self.peers.iter() {
            let status = peer.status.as_ref();
            nodes.push(NodeEntry {
                key: peer.key,
                name: name.clone(),
                address: peer.address,
                data_centre: peer.data_centre.clone(),
                target: status.and_then(|it| it.target.as_ref()).map(target_entry),
                is_closing: status.is_some_and(|it| it.is_closing),
                is_heard: peer.is_heard(now),
                reaches_store: status.is_none_or(|it| it.reaches_store),
                is_planner: **name == *planner,
                is_local: false,
            });
        }
        let assignments =
            self.assignments.iter().map(|(name, it)| (name.clone(), it.assignment.clone()));
        Directory {
            nodes,
            assignments: assignments.collect(),
            local: self.local.as_ref().map(|it| self.local_target(it, now)),
        }
    }

    fn local_entry(&self) -> NodeEntry {
        let target = self.local.as_ref().map(|it| TargetEntry {
            service: it.service.clone(),
            incarnation: it.incarnation.clone(),
            slots: it.slots,
            is_draining: it.leave_acknowledged_at.is_some(),
        });
        NodeEntry {
            key: NodeKey(0),
            name: self.node.clone(),
            address: self.settings.listeners.peers,
            data_centre: Arc::from(self.settings.data_centre.as_str()),
            target,
            is_closing: self.is_closing,
            is_heard: true,
            reaches_store: self.reaches_store,
            is_planner: false,
            is_local: true,
        }
    }

    fn local_target(&self, local: &LocalRecord, now: BootInstant) -> LocalTarget {
        let cold = local.cold_until.saturating_since(now);
        LocalTarget {
            service: local.service.clone(),
            incarnation: local.incarnation.clone(),
            slots: local.slots,
            cold_remaining_ms: u64::try_from(cold.as_millis()).unwrap_or(0),
            leave_acknowledged_at: local.leave_acknowledged_at,
            holds_keys: self.is_keyed(&local.service),
            leases: local.granted.clone().unwrap_or_default(),
        }
    }

    /// What other nodes may ask for.
    pub fn sync_snapshot(&self) -> SyncSnapshot {
        let rows = self.rows.values().filter_map(|it| {
            let value = it.value.clone()?;
            Some(SharedRow { key: it.key.clone(), value, version: it.version })
        });
        SyncSnapshot {
            config_version: self.config_version(),
            config: self.encoded_config.clone(),
            rows: rows.collect(),
            rows_version: self.rows_version,
            confirmed_at: self.confirmed_at,
        }
    }

    /// Whether keys of the target beside this node are still to be passed on before it stops.
    pub fn has_keys_to_pass_on(&self) -> bool {
        let Some(local) = &self.local else {
            return false;
        };
        let Some(record) = self.assignments.get(&*local.service) else {
            return false;
        };
        record.assignment.holders().iter().any(|it| it.target == local.incarnation)
    }

    pub(super) fn local_owner(&self) -> Option<Owner> {
        let local = self.local.as_ref()?;
        Some(Owner::new(local.incarnation.clone(), self.node.clone()))
    }
}

impl LocalRecord {
    fn new(
        incarnation: TargetIncarnation,
        heartbeat: &Heartbeat,
        leases_end_at: BootInstant,
        now: BootInstant,
    ) -> Self {
        Self {
            incarnation,
            service: Arc::from(heartbeat.service.as_str()),
            slots: heartbeat.slots,
            sequence: 0,
            heartbeats: 0,
            heard_at: now,
            cold_until: now,
            leave_acknowledged_at: None,
            held: Vec::new(),
            released: Vec::new(),
            granted: None,
            leases_end_at,
            open_heartbeat: None,
        }
    }

    fn update(&mut self, heartbeat: &Heartbeat, now: BootInstant) {
        self.sequence = heartbeat.sequence;
        self.heartbeats = self.heartbeats.saturating_add(1);
        self.heard_at = now;
        self.slots = heartbeat.slots;
        self.cold_until = now + Duration::from_millis(heartbeat.cold_remaining_ms);
        self.held.clone_from(&heartbeat.held);
        self.released.extend(heartbeat.released.iter().cloned());
        // A later release of the same keys replaces an earlier one; only the newest are kept.
        let surplus = self.released.len().saturating_sub(MAX_RELEASES);
        self.released.drain(..surplus);
        if heartbeat.state == TargetState::Draining && self.leave_acknowledged_at.is_none() {
            log::info!(event = "target_leaves", target:% = self.incarnation, how = "draining"; "");
            self.leave_acknowledged_at = Some(now);
        }
    }
}

/// Releases that are remembered until the keys are passed on.
const MAX_RELEASES: usize = 128;

/// The keys that are to leave a target and that it has released, each with its handover token.
fn released_pieces(local: &LocalRecord, assignment: &Assignment) -> Vec<(KeyRange, String)> {
    let mut pieces = Vec::new();
    for entry in assignment.leaving(&local.incarnation) {
        if local.may_hold(entry.range) {
            continue;
        }
        if let Some(handover) = local.handover_of(entry.range) {
            pieces.push((entry.range, handover.to_owned()));
            continue;
        }
        for release in &local.released {
            let released = KeyRange::new(release.first, release.last);
            if let Some(part) = released.and_then(|it| it.overlap(entry.range)) {
                pieces.push((part, release.handover.clone()));
            }
        }
        // What is left was never held. Pieces that were passed on already are not leaving any more.
        pieces.push((entry.range, String::new()));
    }
    pieces
}

/// Whether keys are on their way to a target, and none are waiting to be taken from it.
fn awaits_keys(assignment: &Assignment, local: &LocalRecord) -> bool {
    let mut awaits = false;
    for entry in assignment.entries() {
        match &entry.holding {
            Holding::Leaving { from, .. } if from.target == local.incarnation => return false,
            Holding::Leaving { to: Some(to), .. } if to.target == local.incarnation => awaits = true,
            _ => {}
        }
    }
    let is_new = local.granted.is_none() && local.held.is_empty();
    let owns_nothing = assignment.owned_by(&local.incarnation).next().is_none();
    awaits || (is_new && owns_nothing)
}

fn target_entry(status: &TargetStatus) -> TargetEntry {
    TargetEntry {
        service: Arc::from(status.service.as_str()),
        incarnation: TargetIncarnation::new(status.id.as_str(), status.born_ms),
        slots: status.slots,
        is_draining: status.is_draining,
    }
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
