//! The snapshot of nodes, targets and assignments that the traffic thread reads.

use std::{net::SocketAddr, sync::Arc};

use galenastream_ranges::{Assignment, TargetIncarnation};
use galenastream_routing::{ColdPeriod, NodeKey, RequestRate};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::NodeStatus;

use super::HeldLeases;

/// A snapshot of the nodes, targets and assignments known to the control state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    /// All known nodes, this one first.
    pub nodes: Vec<NodeEntry>,
    /// The assignment of keys to targets, by service.
    pub assignments: FastMap<String, Arc<Assignment>>,
    /// The local target, if one is known.
    pub local: Option<LocalTarget>,
}

/// A node in the [`Directory`].
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEntry {
    /// Identifies the node within this process; 0 is this node.
    pub key: NodeKey,
    /// The name of its VM.
    pub name: Arc<str>,
    /// The address at which it accepts connections of other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its local target, if one is known.
    pub target: Option<TargetEntry>,
    /// Whether it is about to stop.
    pub is_closing: bool,
    /// Whether it is about to stop and refuses requests.
    pub is_refusing: bool,
    /// Whether nothing may be sent to the targets of its data centre.
    pub is_evacuated: bool,
    /// Whether a status of it has arrived within the last 2.5 s.
    pub is_reachable: bool,
    /// Whether it reads the shared rows from the store itself, or its status is unknown.
    pub reads_rows: bool,
    /// Whether it is the planner in the view of this node. Never set for this node itself.
    pub is_planner: bool,
    /// The digest of what it knows of requests that crash targets. Not used for this node.
    pub quarantine_digest: u64,
    /// Whether it is this node.
    pub is_local: bool,
}

/// The target of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Its service.
    pub service: Arc<str>,
    /// The incarnation that runs now.
    pub incarnation: TargetIncarnation,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Since when this node has known that it leaves. It lasts until another incarnation runs, also
    /// if the node beside the target restarts and no longer knows.
    pub draining_since: Option<BootInstant>,
    /// The request limit that it announces.
    pub limit: Option<RequestRate>,
    /// Since when this node has known that a request should be sent there to find out whether the
    /// limit has ended.
    pub trial_wanted_since: Option<BootInstant>,
    /// The time for which it is cold.
    pub cold: Option<ColdPeriod>,
}

/// The local target: the one beside this node.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalTarget {
    /// Its service.
    pub service: Arc<str>,
    /// The incarnation that runs now.
    pub incarnation: TargetIncarnation,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// When its deregistration, or its first heartbeat in the draining state, was received.
    pub draining_since: Option<BootInstant>,
    /// Whether the targets of its service hold keys.
    pub holds_keys: bool,
    /// Whether nothing may be sent to the targets of its data centre.
    pub is_evacuated: bool,
    /// The time for which it is cold.
    pub cold: Option<ColdPeriod>,
    /// The leases that it was granted last; empty if there were none.
    pub leases: HeldLeases,
}

impl Directory {
    /// The node whose target is the given incarnation, if one is known.
    pub fn node_of(&self, target: &TargetIncarnation) -> Option<&NodeEntry> {
        self.nodes.iter().find(|it| it.target.as_ref().is_some_and(|it| it.incarnation == *target))
    }

    /// Since when this node has known that the target of a status leaves, if the status does not say so:
    /// the process that sends it may have started after the target announced its leave.
    pub fn forgotten_leave(&self, status: &NodeStatus) -> Option<BootInstant> {
        let named = status.target.as_ref().filter(|it| !it.is_draining)?;
        let node = self.nodes.iter().find(|it| *it.name == *status.node)?;
        let known = node.target.as_ref()?;
        let incarnation = &known.incarnation;
        let is_same = *incarnation.id == *named.id && incarnation.born_ms == named.born_ms;
        known.draining_since.filter(|_| is_same)
    }

    /// The number of reachable nodes, including this one.
    pub fn reachable_count(&self) -> usize {
        self.nodes.iter().filter(|it| it.is_reachable).count()
    }
}
