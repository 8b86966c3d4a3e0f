//! The registry of the other nodes, built from the rows of the store and from their statuses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{ColdPeriod, NodeKey, RequestRate};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{NodeRow, NodeStatus};

/// Time without a status after which a node counts as unreachable: 2.5 times the interval at which
/// statuses are sent.
pub(super) const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a status of any node after which this node may have been cut off or suspended itself:
/// each node sends one per second.
const MAX_STATUS_GAP: Duration = Duration::from_millis(1_500);

/// The registry of the other nodes by name.
#[derive(Debug, Default)]
pub(super) struct PeerRegistry {
    peers: FastMap<Arc<str>, PeerRecord>,
    next_key: u32,
    /// When the last status of any node arrived.
    last_status_at: Option<BootInstant>,
    /// For how long this node has listened to the others since its start.
    listened: Duration,
}

/// What is known of another node.
#[derive(Debug)]
pub(super) struct PeerRecord {
    pub(super) key: NodeKey,
    pub(super) address: SocketAddr,
    pub(super) data_centre: Arc<str>,
    pub(super) status: Option<NodeStatus>,
    pub(super) last_status_at: Option<BootInstant>,
    /// For how long this node had listened when a status, or a change of the rows, last showed that
    /// the other one is alive.
    heard_after: Duration,
    /// The latest instant at which the node knew from the store that no config was newer than the
    /// one in force here.
    config_confirmed_at: Option<BootInstant>,
    /// The target that a status showed as draining first, and when that status arrived.
    draining: Option<(TargetIncarnation, BootInstant)>,
    /// Since when the statuses have said that the target wants a trial of its limit.
    trial_wanted_since: Option<BootInstant>,
}

impl PeerRegistry {
    /// Creates an empty registry. [`NodeKey`] 0 is reserved for this node.
    pub(super) fn new() -> Self {
        Self { next_key: 1, ..Self::default() }
    }

    /// How long a node has been silent while this node listened.
    pub(super) fn silence(&self, node: &str) -> Duration {
        let heard = self.peers.get(node).map_or(Duration::ZERO, |it| it.heard_after);
        self.listened.saturating_sub(heard)
    }

    /// Counts the time for which this process has `run` since the last call as listened, as far as
    /// silence of a node tells something of that node: not while this node reached nothing, and half
    /// of it while it heard no node at all, since it may be cut off itself.
    pub(super) fn listen(&mut self, run: Duration, reaches_store: bool, now: BootInstant) {
        let hears_others =
            self.last_status_at.is_some_and(|it| now.saturating_since(it) <= MAX_STATUS_GAP);
        self.listened += match (hears_others, reaches_store) {
            (true, _) => run,
            (false, true) => run / 2,
            (false, false) => Duration::ZERO,
        };
    }

    /// Records a change of the shared rows that only a live process of a node makes.
    pub(super) fn record_sign_of_life(&mut self, node: &str) {
        if let Some(record) = self.peers.get_mut(node) {
            record.heard_after = self.listened;
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PeerRecord)> {
        self.peers.iter()
    }

    /// Adds or updates a node from its row in the store.
    pub(super) fn record_row(&mut self, node: &str, row: &NodeRow) {
        let Ok(address) = row.address.parse() else {
            log::warn!(event = "node_row_malformed", node, address = row.address.as_str(); "");
            return;
        };
        self.insert(node, address, &row.data_centre);
    }

    /// Removes a node whose row was removed.
    pub(super) fn remove(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Records a status of a node. Returns whether it differs from the last one, or the node was
    /// unreachable before.
    pub(super) fn record_status(&mut self, status: NodeStatus, now: BootInstant) -> bool {
        let Ok(address) = status.address.parse() else {
            log::warn!(event = "status_malformed", node = status.node.as_str(); "");
            return false;
        };
        self.last_status_at = Some(now);
        let listened = self.listened;
        let record = self.insert(&status.node, address, &status.data_centre);
        let was_reachable = record.is_reachable(now);
        let differs = record.status.as_ref() != Some(&status);
        record.status = Some(status);
        record.last_status_at = Some(now);
        record.heard_after = listened;
        record.remember_draining(now);
        record.remember_trial(now);
        differs || !was_reachable
    }

    /// Records an instant at which a node knew from the store that no config was newer than the one
    /// in force here.
    pub(super) fn record_config_confirmation(&mut self, node: &str, confirmed_at: BootInstant) {
        if let Some(record) = self.peers.get_mut(node) {
            record.config_confirmed_at = record.config_confirmed_at.max(Some(confirmed_at));
        }
    }

    fn insert(&mut self, node: &str, address: SocketAddr, data_centre: &str) -> &mut PeerRecord {
        let next_key = &mut self.next_key;
        let record = self.peers.entry(Arc::from(node)).or_insert_with(|| {
            let key = NodeKey(*next_key);
            *next_key += 1;
            PeerRecord {
                key,
                address,
                data_centre: Arc::from(data_centre),
                status: None,
                last_status_at: None,
                heard_after: Duration::ZERO,
                config_confirmed_at: None,
                draining: None,
                trial_wanted_since: None,
            }
        });
        record.address = address;
        record
    }
}

impl PeerRecord {
    pub(super) fn is_reachable(&self, now: BootInstant) -> bool {
        self.last_status_at.is_some_and(|it| now.saturating_since(it) <= REACHABILITY_TIMEOUT)
    }

    /// The time since the last status arrived.
    pub(super) fn status_age(&self, now: BootInstant) -> Duration {
        self.last_status_at.map_or(Duration::MAX, |it| now.saturating_since(it))
    }

    /// Since when the target has been known to drain, also if later statuses no longer say so: the
    /// process that sends them may have started after the target announced its leave.
    pub(super) fn draining_since(&self, target: &TargetIncarnation) -> Option<BootInstant> {
        let (draining, since) = self.draining.as_ref()?;
        (draining == target).then_some(*since)
    }

    /// Since when the target has been known to want a trial of its limit.
    pub(super) const fn trial_wanted_since(&self) -> Option<BootInstant> {
        self.trial_wanted_since
    }

    /// The time for which the target is cold, counted from when the status arrived.
    pub(super) fn cold_period(&self) -> Option<ColdPeriod> {
        let target = self.status.as_ref()?.target.as_ref()?;
        let limit = RequestRate::new(target.cold_limit_milli_per_s?);
        let until = self.last_status_at? + Duration::from_millis(target.cold_remaining_ms);
        Some(ColdPeriod { limit, until })
    }

    fn remember_trial(&mut self, now: BootInstant) {
        let target = self.status.as_ref().and_then(|it| it.target.as_ref());
        let is_wanted = target.is_some_and(|it| it.wants_trial);
        let since = self.trial_wanted_since.unwrap_or(now);
        self.trial_wanted_since = is_wanted.then_some(since);
    }

    fn remember_draining(&mut self, now: BootInstant) {
        let is_draining = |it: &NodeStatus| it.target.as_ref().is_some_and(|it| it.is_draining);
        let Some(target) = self.target().filter(|_| self.status.as_ref().is_some_and(is_draining))
        else {
            return;
        };
        if self.draining_since(&target).is_none() {
            self.draining = Some((target, now));
        }
    }

    /// Whether the node is a reader: it reaches the store, follows the shared rows there and is not
    /// about to stop.
    pub(super) fn is_reader(&self) -> bool {
        self.reaches_store() && self.status.as_ref().is_some_and(|it| it.reads_rows)
    }

    /// Whether the node reaches the store and is not about to stop.
    pub(super) fn reaches_store(&self) -> bool {
        self.status.as_ref().is_some_and(|it| it.reaches_store && !it.is_closing)
    }

    /// Whether the node is reachable and has a config newer than a version.
    pub(super) fn announces_newer_config(&self, version: u64, now: BootInstant) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|it| it.config_version > version) && self.is_reachable(now)
    }

    /// Whether the node confirms that a version of the config, the one in force here, is the newest
    /// one. A confirmation whose age is known also counts while statuses are lost, if it is newer
    /// than `outdated_at`.
    pub(super) fn confirms_config(
        &self,
        version: u64,
        outdated_at: BootInstant,
        now: BootInstant,
    ) -> bool {
        let Some(status) = &self.status else {
            return false;
        };
        if !status.confirms_config.unwrap_or(status.reaches_store) {
            return false;
        }
        match status.states_config_age {
            true => self.config_confirmed_at > Some(outdated_at),
            false => status.config_version == version && self.is_reachable(now),
        }
    }

    /// The incarnation of the target beside the node.
    pub(super) fn target(&self) -> Option<TargetIncarnation> {
        let target = self.status.as_ref()?.target.as_ref()?;
        Some(TargetIncarnation::new(target.id.as_str(), target.born_ms))
    }
}
