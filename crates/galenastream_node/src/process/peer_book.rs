//! The other nodes, as the store's rows and their own statuses show them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::NodeKey;
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{NodeRow, NodeStatus};

/// A node that was not heard of for this long counts as out of reach: two and a half of the
/// intervals at which statuses are sent.
pub(super) const REACHABLE_WITHIN: Duration = Duration::from_millis(2_500);

/// The other nodes.
#[derive(Debug, Default)]
pub(super) struct PeerRegistry {
    peers: FastMap<Arc<str>, PeerRecord>,
    next_key: u32,
}

/// Another node.
#[derive(Debug)]
pub(super) struct PeerRecord {
    pub(super) key: NodeKey,
    pub(super) address: SocketAddr,
    pub(super) data_centre: Arc<str>,
    pub(super) status: Option<NodeStatus>,
    pub(super) last_status_at: Option<BootInstant>,
}

impl PeerRegistry {
    /// Creates an empty book. Key 0 is this node's own.
    pub(super) fn new() -> Self {
        Self { peers: FastMap::default(), next_key: 1 }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PeerRecord)> {
        self.peers.iter()
    }

    pub(super) fn get(&self, node: &str) -> Option<&PeerRecord> {
        self.peers.get(node)
    }

    /// Notes a node that the store's rows name.
    pub(super) fn record_row(&mut self, node: &str, row: &NodeRow) {
        let Ok(address) = row.address.parse() else {
            log::warn!(event = "node_row_malformed", node, address = row.address.as_str(); "");
            return;
        };
        self.insert(node, address, &row.data_centre);
    }

    /// Forgets a node whose row was removed.
    pub(super) fn remove(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Notes what a node said of itself. Returns whether it differs from what it said before.
    pub(super) fn record_status(&mut self, status: NodeStatus, now: BootInstant) -> bool {
        let Ok(address) = status.address.parse() else {
            log::warn!(event = "status_malformed", node = status.node.as_str(); "");
            return false;
        };
        let record = self.insert(&status.node, address, &status.data_centre);
        let was_reachable = record.is_reachable(now);
        let differs = record.status.as_ref() != Some(&status);
        record.status = Some(status);
        record.last_status_at = Some(now);
        differs || !was_reachable
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
            }
        });
        record.address = address;
        record
    }
}

impl PeerRecord {
    pub(super) fn is_reachable(&self, now: BootInstant) -> bool {
        self.last_status_at.is_some_and(|it| now.saturating_since(it) <= REACHABLE_WITHIN)
    }

    /// Whether it follows the shared rows in the store.
    pub(super) fn is_reader(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|it| it.reaches_store && it.reads_rows && !it.is_closing)
    }

    /// The incarnation of the target beside the node.
    pub(super) fn target(&self) -> Option<TargetIncarnation> {
        let target = self.status.as_ref()?.target.as_ref()?;
        Some(TargetIncarnation::new(target.id.as_str(), target.born_ms))
    }
}
