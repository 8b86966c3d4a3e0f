//! Watches the tables of the store for changes.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use galenastream_adapter::{
    CONFIG_TABLE, RoutingConfig, Row, StoreClient, StoreConnection, StoreError, VersionedRows,
    era_of, find_config_row, is_config_row_malformed,
};
use galenastream_runtime::boot_now;
use galenastream_utils::BootInstant;
use galenastream_wire::SHARED_ROWS_TABLE;
use tokio::time::{sleep, timeout};

use super::{ControlEvent, NodeContext, WrittenRow};

/// Timeout of a call to the store; a watch may take this much longer than its wait. A call normally
/// takes 4 ms, and about this long while the store is slow.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a watch waits for a change. Long, since each watch costs a call, and a dead connection
/// is detected by its keep-alive probes. A store that answers the probes but no calls is noticed only
/// at the end of the watch.
const MAX_WATCH: Duration = Duration::from_millis(12_000);

/// How long a watch waits if the local target holds keys. Each watch confirms that the rows are
/// current, which leases depend on.
const MAX_LEASE_WATCH: Duration = Duration::from_millis(2_000);

/// How long the first read of the shared rows waits until the row of this node is written.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval at which a node that does not follow the shared rows checks whether it has to.
const IDLE_POLL: Duration = Duration::from_millis(100);

/// Delays after failed calls and repeated drops of the history: the first one, doubled after each
/// failure up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The table that a task follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowedTable {
    /// The operators' table, which holds the config.
    Config,
    /// The table of the rows that all nodes share.
    SharedRows,
}

/// Follows a table until the process ends, and sends its changes to the control thread.
pub(super) async fn follow_table(
    context: Arc<NodeContext>,
    store: StoreClient,
    table: FollowedTable,
) {
    let mut connection = store.new_connection();
    let mut known_version = None;
    let mut backoff = INITIAL_BACKOFF;
    // The delay before the next read if the history is dropped once more.
    let mut drop_backoff = None;
    if table == FollowedTable::SharedRows {
        // Each node writes its row before its first read, so of two starting nodes at least the
        // later reader sees the row of the other.
        let mut own_row = context.own_row.subscribe();
        let is_written = own_row.wait_for(Option::is_some);
        if timeout(ANNOUNCEMENT_TIMEOUT, is_written).await.is_err() {
            log::warn!(event = "announcement_outstanding"; "");
        }
    }
    loop {
        let is_idle = table == FollowedTable::SharedRows
            && known_version.is_some()
            && !context.reads_rows.load(Ordering::Relaxed);
        if is_idle {
            sleep(IDLE_POLL).await;
            continue;
        }
        connection.set_address(context.settings.load().store.address);
        let asked_at = boot_now();
        let is_watch = known_version.is_some();
        match next_rows(&context, &mut connection, table, known_version).await {
            Ok(changed) => {
                backoff = INITIAL_BACKOFF;
                // A watch has succeeded, not only the read after a drop.
                if is_watch {
                    drop_backoff = None;
                }
                known_version = Some(changed.version);
                let confirmed_at = match is_watch {
                    true => Some(asked_at),
                    false => {
                        own_write(&context).and_then(|it| it.confirmation_of_read(changed.version))
                    }
                };
                deliver(&context, table, changed, confirmed_at).await;
            }
            Err(StoreError::HistoryDropped) => {
                log::info!(event = "store_history_dropped", table = table.name(); "");
                known_version = None;
                if let Some(delay) = drop_backoff {
                    sleep(delay).await;
                }
                drop_backoff =
                    Some(drop_backoff.map_or(INITIAL_BACKOFF, |it| (it * 2).min(MAX_BACKOFF)));
            }
            Err(error) => {
                log::info!(event = "store_call_failed", table = table.name(), reason:% = error; "");
                context.control_events.send(ControlEvent::StoreReached(false)).await;
                if table == FollowedTable::Config {
                    context.control_events.send(ControlEvent::ConfigRead(false)).await;
                }
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn next_rows(
    context: &NodeContext,
    connection: &mut StoreConnection,
    table: FollowedTable,
    known_version: Option<u64>,
) -> Result<VersionedRows, StoreError> {
    let Some(after) = known_version else {
        return connection.read_table(table.name(), STORE_CALL_TIMEOUT).await;
    };
    let wait = match table {
        FollowedTable::SharedRows if target_holds_keys(context) => MAX_LEASE_WATCH,
        FollowedTable::SharedRows | FollowedTable::Config => MAX_WATCH,
    };
    connection.watch_table(table.name(), after, wait, STORE_CALL_TIMEOUT).await
}

fn own_write(context: &NodeContext) -> Option<WrittenRow> {
    *context.own_row.borrow()
}

fn target_holds_keys(context: &NodeContext) -> bool {
    let directory = context.directory.load();
    directory.local.as_ref().is_some_and(|it| it.holds_keys)
}

async fn deliver(
    context: &NodeContext,
    table: FollowedTable,
    changed: VersionedRows,
    confirmed_at: Option<BootInstant>,
) {
    context.control_events.send(ControlEvent::StoreReached(true)).await;
    match table {
        FollowedTable::SharedRows => {
            let event =
                ControlEvent::Rows { rows: changed.rows, version: changed.version, confirmed_at };
            context.control_events.send(event).await;
        }
        FollowedTable::Config => {
            let era = era_of(changed.version);
            context.control_events.send(ControlEvent::StoreEra(era)).await;
            if is_config_row_malformed(&changed) {
                let event = ControlEvent::ConfigUnreadable { version: None };
                context.control_events.send(event).await;
            } else if let Some(row) = find_config_row(&changed.rows) {
                deliver_config(context, row).await;
            }
            context.control_events.send(ControlEvent::ConfigRead(true)).await;
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
            context
                .control_events
                .send(ControlEvent::Config { config: Box::new(config), encoded })
                .await;
        }
        Err(error) => {
            log::warn!(event = "config_refused", row_version = row.version, reason:% = error; "");
            let version = RoutingConfig::decode_version(&encoded).map(|it| it.0);
            context.control_events.send(ControlEvent::ConfigUnreadable { version }).await;
        }
    }
}

impl FollowedTable {
    const fn name(self) -> &'static str {
        match self {
            Self::Config => CONFIG_TABLE,
            Self::SharedRows => SHARED_ROWS_TABLE,
        }
    }
}
