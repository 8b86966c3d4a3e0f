//! The status page of a node: JSON for operators and `galenastreamctl`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path of the status page.
pub const STATUS_PATH: &str = "/status";

/// The status of a node as operators see it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// The name of the VM.
    pub node: String,
    /// The data centre.
    pub data_centre: String,
    /// The version of the program.
    pub version: String,
    /// The time since the start of the process, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "up_ms")]
    pub up: Duration,
    /// The version of the config in force; 0 if there is none.
    pub config_version: u64,
    /// The newest config in the store, if it is refused, so that an older one is in force, or none.
    /// Earlier versions do not report it.
    #[serde(default)]
    pub config_refused: Option<RefusedConfigPage>,
    /// The data centres that are evacuated, in the view of the node. Earlier versions do not report
    /// them.
    #[serde(default)]
    pub evacuated: Vec<EvacuatedPage>,
    /// The version of the settings tree that was put in force last; 0 if there was none.
    pub tree_version: u64,
    /// The version of the shared rows that the node has.
    pub rows_version: u64,
    /// The time since the shared rows were last known to be current, in milliseconds in JSON. The
    /// leases that the node may grant depend on it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "rows_confirmed_age_ms")]
    pub rows_confirmed_age: Option<Duration>,
    /// Whether the last call to the store succeeded.
    pub reaches_store: bool,
    /// Whether the node follows the shared rows in the store itself.
    pub reads_rows: bool,
    /// Whether the node is the planner, which decides on the owners of the keys.
    #[serde(rename = "plans")]
    pub is_planner: bool,
    /// Whether the process is about to stop.
    pub is_closing: bool,
    /// The number of other nodes from which a status has arrived within the last 2.5 s.
    pub peers_heard: usize,
    /// The number of other nodes that are known from rows of the store or from statuses.
    pub peers_known: usize,
    /// The number of requests that the node refuses because they crash targets. Earlier versions do not
    /// report it.
    #[serde(default)]
    pub quarantined_requests: usize,
    /// The local target, if one is known.
    pub target: Option<TargetPage>,
}

/// A config that a node refuses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedConfigPage {
    /// Its version, if that can be told.
    pub version: Option<u64>,
    /// Why it is refused.
    pub reason: String,
}

/// The evacuation of a data centre in the view of a node.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedPage {
    /// The data centre.
    pub data_centre: String,
    /// For how long the node has known it, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "known_ms")]
    pub known: Duration,
}

/// The status of the local target of a node as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPage {
    /// The id of the target.
    pub id: String,
    /// The Unix time of its start in milliseconds; 0 if its heartbeats report none.
    pub born_ms: u64,
    /// Its service.
    pub service: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// The number of requests that wait for it or run there. Earlier versions do not report it.
    #[serde(default)]
    pub pending_requests: usize,
    /// The request limit that it announces, in thousandths of a request per second.
    pub limit_milli_per_s: Option<u64>,
    /// The measured capacity in thousandths of a request per second; 0 before anything was
    /// measured.
    pub capacity_milli_per_s: u64,
    /// The requests per second that it takes while it is cold, in thousandths; `None` if it is not
    /// cold. Earlier versions do not report it.
    #[serde(default)]
    pub cold_limit_milli_per_s: Option<u64>,
    /// For how long it stays cold, in milliseconds. Earlier versions do not report it.
    #[serde(default)]
    pub cold_remaining_ms: u64,
    /// Whether it has announced its leave.
    pub is_draining: bool,
    /// Whether its last heartbeat is more than 2.5 heartbeat intervals old.
    pub is_silent: bool,
    /// Whether it gets no requests, since it may have left before the node started. Earlier versions do
    /// not report it.
    #[serde(default)]
    pub is_withheld: bool,
    /// Why keys are not granted to it by calls, if they are not. Earlier versions do not report it.
    #[serde(default)]
    pub leases_withheld: Option<String>,
    /// The leases that it was granted last.
    pub leases: Vec<LeasePage>,
}

/// A lease of the local target on a range of keys.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasePage {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fencing token.
    pub fence: u64,
    /// The time until it expires, in milliseconds in JSON; 0 if it has expired.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "remaining_ms")]
    pub remaining: Duration,
}
