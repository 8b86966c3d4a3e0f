//! What the threads of a process share.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use galenastream_adapter::NodeSettings;
use galenastream_settings::SettingsTree;
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, SharedRow, SyncQuery, SyncState};
use tokio::sync::{Notify, mpsc, watch};

use super::{ControlEvent, Directory, KeyMeter, StatusPage};
use crate::version::RoutingTable;

/// What the threads of a process share. The control thread writes the snapshots.
#[derive(Debug)]
pub struct NodeContext {
    /// The settings of the process.
    pub settings: ArcSwap<NodeSettings>,
    /// Wakes whoever follows the settings file.
    pub reload_requested: Notify,
    /// The routes in force.
    pub routing: ArcSwapOption<RoutingTable>,
    /// Nodes, targets and keys.
    pub directory: ArcSwap<Directory>,
    /// Counts the changes of the directory; requests that found no owner wait for the next one.
    pub directory_changes: watch::Sender<u64>,
    /// The settings of galenastream's own decisions.
    pub settings_tree: ArcSwap<SettingsTree>,
    /// What operators see of this node.
    pub status_page: ArcSwapOption<StatusPage>,
    /// What other nodes may ask for.
    pub sync_snapshot: ArcSwap<SyncSnapshot>,
    /// What this node says of itself.
    pub status: watch::Sender<NodeStatus>,
    /// Events for the control thread.
    pub control_events: mpsc::Sender<ControlEvent>,
    /// The load of single keys.
    pub key_meter: Mutex<KeyMeter>,
    /// The mean service time of the target beside this node, in microseconds.
    pub service_time_us: AtomicU64,
    /// Whether this node follows the shared rows in the store itself.
    pub reads_rows: AtomicBool,
    /// Whether this node's own row is written.
    pub own_row_written: Notify,
    /// Whether the process is about to stop.
    pub is_closing: AtomicBool,
    /// Whether the process takes no more requests, since it is about to end.
    pub is_refusing: AtomicBool,
    /// Whether keys are still to be passed on before the process stops.
    pub has_keys_to_hand_over: AtomicBool,
}

/// What other nodes may ask for.
#[derive(Debug, Clone, Default)]
pub struct SyncSnapshot {
    /// The version of the config.
    pub config_version: u64,
    /// The config as its writer encoded it.
    pub config: Bytes,
    /// The shared rows.
    pub rows: Arc<[SharedRow]>,
    /// The version of the shared rows.
    pub rows_version: u64,
    /// When the rows were last known to be current.
    pub confirmed_at: Option<BootInstant>,
}

impl SyncSnapshot {
    /// What an asker has not read yet.
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
            confirmed_age_ms: u64::try_from(confirmed_age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl NodeContext {
    /// Tells the control thread of an event. One that finds its queue full is dropped and logged;
    /// all of them come again.
    pub fn notify(self: &Arc<Self>, event: ControlEvent) {
        if self.control_events.try_send(event).is_err() {
            log::warn!(event = "control_event_dropped"; "");
        }
    }
}
