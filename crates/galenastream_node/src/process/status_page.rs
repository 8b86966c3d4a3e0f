//! What operators see of a node, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path of the page.
pub const STATUS_PATH: &str = "/status";

/// What operators see of a node.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// The VM's name.
    pub node: String,
    /// The data centre.
    pub data_centre: String,
    /// The release.
    pub version: String,
    /// How long the process has been running.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "up_ms")]
    pub up: Duration,
    /// The version of the config in force.
    pub config_version: u64,
    /// The version of the tree of settings in force; 0 if there is none.
    pub tree_version: u64,
    /// The version of the shared rows.
    pub rows_version: u64,
    /// How long ago the shared rows were known to be current. Leases depend on it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "rows_confirmed_age_ms")]
    pub rows_confirmed_age: Option<Duration>,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// Whether it follows the shared rows in the store itself.
    pub reads_rows: bool,
    /// Whether it plans which target owns which keys.
    #[serde(rename = "plans")]
    pub is_planner: bool,
    /// Whether it is about to stop.
    pub is_closing: bool,
    /// Other nodes that it heard of lately.
    pub peers_heard: usize,
    /// Other nodes that it knows of.
    pub peers_known: usize,
    /// The target beside it.
    pub target: Option<TargetPage>,
}

/// What operators see of the target beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPage {
    /// Its id.
    pub id: String,
    /// Unix time of its start in milliseconds.
    pub born_ms: u64,
    /// Its service.
    pub service: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests a second that it can take, in thousandths; 0 before anything was measured.
    pub capacity_milli_per_s: u64,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Whether its heartbeats have stopped.
    pub is_silent: bool,
    /// The leases that it was granted last.
    pub leases: Vec<LeasePage>,
}

/// A lease on a range of keys.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasePage {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fencing token.
    pub fence: u64,
    /// For how much longer it lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "remaining_ms")]
    pub remaining: Duration,
}
