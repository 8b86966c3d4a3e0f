//! Follows the tables of the store.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use galenastream_adapter::{
    CONFIG_TABLE, RoutingConfig, Row, StoreClient, StoreConnection, StoreError, VersionedRows,
    find_config_row,
};
use galenastream_runtime::boot_now;
use galenastream_utils::BootInstant;
use galenastream_wire::SHARED_ROWS_TABLE;
use tokio::time::{sleep, timeout};

use super::{ControlEvent, NodeContext};

/// How long a call to the store may take beyond the time for which it waits: many times the 4 ms
/// that it takes normally, and about what it takes while it is slow.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a watch waits for a change. Each one costs a call, and a connection that went silent is
/// noticed by its keep-alive probes.
const MAX_WATCH: Duration = Duration::from_millis(12_000);

/// How long a watch waits where leases depend on it: each one confirms that the rows are current.
const MAX_LEASE_WATCH: Duration = Duration::from_millis(2_000);

/// How long the first reading waits for this node's own row to be written.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How often a node that does not read looks whether it should.
const IDLE_POLL: Duration = Duration::from_millis(100);

/// Pauses after calls that failed, from the first to the last.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Which table is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowedTable {
    /// The operators' table, for the config.
    Config,
    /// The rows that all nodes share.
    Fleet,
}

/// Follows a table until the process ends.
pub(super) async fn follow_table(
    context: Arc<NodeContext>,
    store: StoreClient,
    table: FollowedTable,
) {
    let mut lane = store.new_connection();
    let mut known_version = None;
    let mut backoff = INITIAL_BACKOFF;
    if table == FollowedTable::Fleet {
        // Of two nodes that start, the one that reads later sees the other one's row.
        if timeout(ANNOUNCEMENT_TIMEOUT, context.own_row_written.notified()).await.is_err() {
            log::warn!(event = "announcement_outstanding"; "");
        }
    }
    loop {
        let is_idle = table == FollowedTable::Fleet
            && known_version.is_some()
            && !context.reads_rows.load(Ordering::Relaxed);
        if is_idle {
            sleep(IDLE_POLL).await;
            continue;
        }
        lane.set_address(context.settings.load().store.address);
        let asked_at = boot_now();
        match next_rows(&context, &mut lane, table, known_version).await {
            Ok(changed) => {
                backoff = INITIAL_BACKOFF;
                known_version = Some(changed.version);
                deliver(&context, table, changed, asked_at).await;
            }
            Err(StoreError::HistoryDropped) => {
                log::info!(event = "store_history_dropped", table = table.name(); "");
                known_version = None;
            }
            Err(error) => {
                log::info!(event = "store_call_failed", table = table.name(), reason:% = error; "");
                send(&context, ControlEvent::StoreReached(false)).await;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn next_rows(
    context: &NodeContext,
    lane: &mut StoreConnection,
    table: FollowedTable,
    known_version: Option<u64>,
) -> Result<VersionedRows, StoreError> {
    let Some(after) = known_version else {
        return lane.read_table(table.name(), STORE_CALL_TIMEOUT).await;
    };
    let wait = match table {
        FollowedTable::Fleet if target_holds_keys(context) => MAX_LEASE_WATCH,
        FollowedTable::Fleet | FollowedTable::Config => MAX_WATCH,
    };
    lane.watch_table(table.name(), after, wait, STORE_CALL_TIMEOUT).await
}

fn target_holds_keys(context: &NodeContext) -> bool {
    let directory = context.directory.load();
    directory.local.as_ref().is_some_and(|it| it.holds_keys)
}

async fn deliver(
    context: &NodeContext,
    table: FollowedTable,
    changed: VersionedRows,
    asked_at: BootInstant,
) {
    send(context, ControlEvent::StoreReached(true)).await;
    match table {
        FollowedTable::Fleet => {
            let event = ControlEvent::Rows {
                rows: changed.rows,
                version: changed.version,
                confirmed_at: asked_at,
            };
            send(context, event).await;
        }
        FollowedTable::Config => {
            if let Some(row) = find_config_row(&changed.rows) {
                deliver_config(context, row).await;
            }
        }
    }
}

async fn deliver_config(context: &NodeContext, row: &Row) {
    let Some(encoded) = row.value.clone() else {
        log::warn!(event = "config_removed", row_version = row.version; "");
        return;
    };
    match RoutingConfig::decode(&encoded) {
        Ok(config) => {
            send(context, ControlEvent::Config { config: Box::new(config), encoded }).await;
        }
        Err(error) => {
            log::warn!(event = "config_refused", row_version = row.version, reason:% = error; "");
        }
    }
}

async fn send(context: &NodeContext, event: ControlEvent) {
    // The control loop ends only with the process.
    if context.control_events.send(event).await.is_err() {
        log::debug!(event = "control_loop_gone"; "");
    }
}

impl FollowedTable {
    const fn name(self) -> &'static str {
        match self {
            Self::Config => CONFIG_TABLE,
            Self::Fleet => SHARED_ROWS_TABLE,
        }
    }
}
