//! Watches the tables of the store for changes.

use std::{
    future::pending,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use galenastream_adapter::{
    CONFIG_KEY, CONFIG_TABLE, RowChange, StoreClient, StoreConnection, StoreError, VersionedRows,
    era_of,
};
use galenastream_runtime::boot_now;
use galenastream_utils::BootInstant;
use galenastream_wire::SHARED_ROWS_TABLE;
use tokio::time::{sleep, timeout};

use super::row_confirmation::MAX_WATCH;
use super::{ControlEvent, NodeContext, StoredConfig, WrittenRow};

/// Timeout of a call to the store; a watch may take this much longer than its wait. A call normally
/// takes 4 ms, and about this long while the store is slow.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node that follows the shared rows watches the config. Each watch confirms that the
/// config is the newest one, on which all nodes rely, see
/// [`MAX_CONFIG_AGE`](super::config_confirmation::MAX_CONFIG_AGE).
const MAX_READER_CONFIG_WATCH: Duration = Duration::from_millis(2_000);

/// How long a node has to follow the shared rows before it ends a watch of the config that is in
/// progress. While a deployment starts, all nodes follow them until they hear of the readers.
const READER_DELAY: Duration = Duration::from_millis(1_500);

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
    let mut own_row = context.own_row.subscribe();
    // Whether a call has told that the rows are current.
    let mut is_confirmed = false;
    if table == FollowedTable::SharedRows {
        // Each node writes its row before its first read, so of two starting nodes at least the
        // later reader sees the row of the other.
        let is_written = own_row.wait_for(Option::is_some);
        if timeout(ANNOUNCEMENT_TIMEOUT, is_written).await.is_err() {
            log::warn!(event = "announcement_outstanding"; "");
        }
    }
    loop {
        let is_idle = table == FollowedTable::SharedRows
            && known_version.is_some()
            && !*context.reads_rows.borrow();
        if is_idle {
            sleep(IDLE_POLL).await;
            continue;
        }
        connection.set_address(context.settings.load().store.address);
        let wait = max_watch(&context, table);
        let asked_at = boot_now();
        let is_watch = known_version.is_some();
        let awaits_proof = table == FollowedTable::Config && is_watch && !is_confirmed;
        let asked_after = known_version;
        let result = tokio::select! {
            result = next_rows(&mut connection, table, known_version, wait) => result,
            () = watch_too_long(&context, table, known_version, wait) => continue,
            Ok(()) = own_row.changed(), if awaits_proof => {
                // A read that shows this write is current.
                known_version = None;
                continue;
            }
        };
        match result {
            Ok(changed) => {
                backoff = INITIAL_BACKOFF;
                // A watch has succeeded, not only the read after a drop.
                if is_watch {
                    drop_backoff = None;
                }
                known_version = Some(changed.version);
                if table == FollowedTable::Config {
                    log_config_answer(&changed, asked_after);
                }
                // The store may answer a read with rows that are seconds old.
                let confirmed_at = match is_watch {
                    true => Some(asked_at),
                    false => confirmation_of_read(&context, changed.version),
                };
                is_confirmed |= confirmed_at.is_some();
                deliver(&context, table, changed, !is_watch, confirmed_at).await;
            }
            Err(error @ (StoreError::HistoryDropped | StoreError::ChangesCutOff)) => {
                let event = match error {
                    StoreError::ChangesCutOff => "store_changes_cut_off",
                    _ => "store_history_dropped",
                };
                log::info!(event, table = table.name(); "");
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
                    context.control_events.send(ControlEvent::ConfigReadFailed).await;
                }
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn next_rows(
    connection: &mut StoreConnection,
    table: FollowedTable,
    known_version: Option<u64>,
    wait: Duration,
) -> Result<VersionedRows, StoreError> {
    let Some(after) = known_version else {
        return connection.read_table(table.name(), STORE_CALL_TIMEOUT).await;
    };
    connection.watch_table(table.name(), after, wait, STORE_CALL_TIMEOUT).await
}

/// An instant at which the rows of a full read were current, if that is known.
fn confirmation_of_read(context: &NodeContext, read_version: u64) -> Option<BootInstant> {
    let written: Option<WrittenRow> = *context.own_row.borrow();
    written?.confirmation_of_read(read_version)
}

fn max_watch(context: &NodeContext, table: FollowedTable) -> Duration {
    match table {
        FollowedTable::SharedRows => {
            Duration::from_millis(context.rows_watch_ms.load(Ordering::Relaxed))
        }
        FollowedTable::Config if *context.reads_rows.borrow() => MAX_READER_CONFIG_WATCH,
        FollowedTable::Config => MAX_WATCH,
    }
}

/// Returns when a watch of the config has to be replaced by shorter ones, since this node has begun
/// to follow the shared rows. Never returns if there is no such watch.
async fn watch_too_long(
    context: &NodeContext,
    table: FollowedTable,
    known_version: Option<u64>,
    wait: Duration,
) {
    if table != FollowedTable::Config || known_version.is_none() || wait < MAX_WATCH {
        return pending().await;
    }
    let mut reads_rows = context.reads_rows.subscribe();
    // The sender lives as long as the process.
    while reads_rows.wait_for(|it| *it).await.is_ok() {
        if timeout(READER_DELAY, reads_rows.wait_for(|it| !*it)).await.is_err() {
            return;
        }
    }
}

/// Logs an answer about the config, unless it is a watch without a change.
fn log_config_answer(changed: &VersionedRows, asked_after: Option<u64>) {
    let changes = changed.changes();
    if asked_after.is_some() && changes.is_empty() {
        return;
    }
    log::info!(
        event = "config_read",
        asked_after,
        version = changed.version,
        changes = changes.len(),
        malformed = changes.iter().filter(|it| matches!(it, RowChange::Malformed(_))).count(),
        first_row_version = changes.first().map(RowChange::version),
        last_row_version = changes.last().map(RowChange::version),
        applied_row_version = changed.newest(CONFIG_KEY).map(RowChange::version);
        ""
    );
}

async fn deliver(
    context: &NodeContext,
    table: FollowedTable,
    answer: VersionedRows,
    is_full_read: bool,
    confirmed_at: Option<BootInstant>,
) {
    let events = &context.control_events;
    events.send(ControlEvent::StoreReached(true)).await;
    match table {
        FollowedTable::SharedRows => {
            let malformed = answer.malformed_rows();
            if !malformed.is_empty() {
                events.send(ControlEvent::RowsMalformed(malformed)).await;
            }
            let version = answer.version;
            let rows = answer.into_rows();
            events.send(ControlEvent::Rows { rows, version, confirmed_at }).await;
        }
        FollowedTable::Config => {
            events.send(ControlEvent::StoreEra(era_of(answer.version))).await;
            let changes = answer.evacuations();
            if is_full_read || !changes.is_empty() {
                let read_version = is_full_read.then_some(answer.version);
                events.send(ControlEvent::EvacuationsRead { changes, read_version }).await;
            }
            let stored = StoredConfig::decode(&answer, is_full_read);
            events.send(ControlEvent::ConfigRead { stored, confirmed_at }).await;
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
