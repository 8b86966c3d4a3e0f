//! The state shared by the threads of a process.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use galenastream_adapter::NodeSettings;
use galenastream_runtime::ConnectionCount;
use galenastream_settings::SettingsTree;
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, SharedRow, StatusSeen, SyncQuery, SyncState};
use tokio::sync::{Notify, watch};

use super::{
    ControlQueue, Directory, KeyMeter, RequestQuarantine, StatusPage, TargetLimit, WrittenRow,
    config_confirmation::MAX_CONFIG_AGE,
};
use crate::version::{PublishedDoubt, RoutingTable};

/// The state shared by the threads of a process. The control thread publishes the snapshots.
#[derive(Debug)]
pub struct NodeContext {
    /// The settings of the process.
    pub settings: ArcSwap<NodeSettings>,
    /// Requests an immediate read of the settings file.
    pub reload_requested: Notify,
    /// The routing table in force; `None` before the first config.
    pub routing: ArcSwapOption<RoutingTable>,
    /// Why the config in force may be older than the newest one.
    pub config_doubt: Mutex<PublishedDoubt>,
    /// The snapshot of nodes, targets and assignments.
    pub directory: ArcSwap<Directory>,
    /// Counts the changes of the directory. Requests whose key is not granted to the local target
    /// yet wait for the next one.
    pub directory_changes: watch::Sender<u64>,
    /// The settings tree in force.
    pub settings_tree: ArcSwap<SettingsTree>,
    /// The status page for operators; `None` before the first publication.
    pub status_page: ArcSwapOption<StatusPage>,
    /// The snapshot that answers sync queries of other nodes.
    pub sync_snapshot: ArcSwap<SyncSnapshot>,
    /// The status that this node sends to all others.
    pub status: watch::Sender<NodeStatus>,
    /// The queue of events for the control thread.
    pub control_events: ControlQueue,
    /// Measures the load of single keys at the local target.
    pub key_meter: Mutex<KeyMeter>,
    /// The requests that are suspected of crashing targets, or refused for it.
    pub quarantine: Arc<RequestQuarantine>,
    /// The request limit that the local target announces.
    pub target_limit: Mutex<Option<TargetLimit>>,
    /// The mean service time of the local target in microseconds; 0 before anything was measured.
    pub service_time_us: AtomicU64,
    /// The requests that wait for the local target or run there.
    pub pending: AtomicUsize,
    /// The open connections to the local target that carry requests.
    pub target_connections: ConnectionCount,
    /// The open connections on which the local target sends heartbeats.
    pub heartbeat_connections: ConnectionCount,
    /// The last write of the row of this node; `None` before the first one.
    pub own_row: watch::Sender<Option<WrittenRow>>,
    /// Whether this node follows the shared rows in the store itself.
    pub reads_rows: watch::Sender<bool>,
    /// How long a watch of the shared rows waits for a change.
    pub rows_watch_ms: AtomicU64,
    /// Whether the process is about to stop.
    pub is_closing: AtomicBool,
    /// Whether the process is about to stop and refuses requests.
    pub is_refusing: AtomicBool,
    /// Whether keys of the local target still have to be handed over before the process stops.
    pub has_keys_to_hand_over: AtomicBool,
    /// Whether the store has yet to be told of a leave that this process has acknowledged.
    pub has_leaves_to_write: AtomicBool,
}

/// The config and the shared rows, from which sync queries of other nodes are answered.
#[derive(Debug, Clone, Default)]
pub struct SyncSnapshot {
    /// The version of the config.
    pub config_version: u64,
    /// The encoded config as it stands in the store; empty if there is none.
    pub config: Bytes,
    /// The shared rows.
    pub rows: Arc<[SharedRow]>,
    /// The version of the shared rows.
    pub rows_version: u64,
    /// The latest instant at which the rows were current in the store.
    pub confirmed_at: Option<BootInstant>,
    /// The latest instant at which the store had no config newer than this one; `None` if this node
    /// does not read it any more.
    pub config_confirmed_at: Option<BootInstant>,
}

impl SyncSnapshot {
    /// The answer to a query: the config and the rows, each only if it is newer than the version in
    /// the query.
    pub fn state_for(&self, query: &SyncQuery, now: BootInstant) -> SyncState {
        let has_config = query.config_version >= self.config_version;
        let age = |confirmed_at| now.saturating_since(confirmed_at);
        let confirmed_age = self.confirmed_at.map_or(Duration::MAX, age);
        SyncState {
            config: if has_config { Bytes::new() } else { self.config.clone() },
            rows: match query.rows_version < self.rows_version {
                true => self.rows.to_vec(),
                false => Vec::new(),
            },
            rows_version: self.rows_version,
            confirmed_age_ms: age_ms(confirmed_age),
        }
    }

    /// The acknowledgement of a status. It names the config only if that was confirmed recently.
    pub fn status_seen(&self, now: BootInstant) -> StatusSeen {
        let age = self.config_confirmed_at.map(|it| now.saturating_since(it));
        let Some(age) = age.filter(|it| *it < MAX_CONFIG_AGE) else {
            return StatusSeen::default();
        };
        StatusSeen {
            config_version: self.config_version,
            config_age_ms: Some(age_ms(age)),
            ..StatusSeen::default()
        }
    }
}

/// The age of evidence in milliseconds, rounded up: it is never stated as younger than it is.
fn age_ms(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
