//! What the traffic thread knows of nodes, targets and keys: a snapshot of the control state.

use std::{net::SocketAddr, sync::Arc};

use galenastream_ranges::{Assignment, TargetIncarnation};
use galenastream_routing::NodeKey;
use galenastream_utils::{BootInstant, FastMap};

use super::HeldLeases;

/// What the traffic thread knows of nodes, targets and keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    /// All known nodes, this one first.
    pub nodes: Vec<NodeEntry>,
    /// The owner of every key, by service.
    pub assignments: FastMap<String, Arc<Assignment>>,
    /// The target beside this node.
    pub local: Option<LocalTarget>,
}

/// A node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEntry {
    /// Its place in the arena of the process.
    pub key: NodeKey,
    /// The VM's name.
    pub name: Arc<str>,
    /// Where it takes connections of other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The target beside it.
    pub target: Option<TargetEntry>,
    /// Whether it is about to stop.
    pub is_closing: bool,
    /// Whether it takes no more requests.
    pub is_refusing: bool,
    /// Whether it was heard of lately.
    pub is_reachable: bool,
    /// Whether it reads the shared rows from the store itself, or nothing is known of it.
    pub reads_rows: bool,
    /// Whether it is the one that plans, as far as this node can tell.
    pub is_planner: bool,
    /// Whether it is this node.
    pub is_local: bool,
}

/// A target beside a node.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Its service.
    pub service: Arc<str>,
    /// Which of its lives.
    pub incarnation: TargetIncarnation,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// The target beside this node.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalTarget {
    /// Its service.
    pub service: Arc<str>,
    /// Which of its lives.
    pub incarnation: TargetIncarnation,
    /// Requests that it processes at once.
    pub slots: u32,
    /// When its leave was acknowledged.
    pub draining_since: Option<BootInstant>,
    /// Whether its service's targets hold keys.
    pub holds_keys: bool,
    /// The keys that it holds.
    pub leases: HeldLeases,
}

impl Directory {
    /// The node beside a target.
    pub fn node_of(&self, target: &TargetIncarnation) -> Option<&NodeEntry> {
        self.nodes.iter().find(|it| it.target.as_ref().is_some_and(|it| it.incarnation == *target))
    }

    /// How many nodes were heard of lately.
    pub fn reachable_count(&self) -> usize {
        self.nodes.iter().filter(|it| it.is_reachable).count()
    }
}
