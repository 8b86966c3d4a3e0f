//! Writes the rows of this node, of assignments, of the quarantine and of leaves to the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, RowWrite, StoreClient, StoreConnection, StoreError};
use galenastream_ranges::Assignment;
use galenastream_runtime::boot_now;
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use prost::Message;
use tokio::{sync::mpsc, time::sleep};

use super::{ControlEvent, NodeContext, WrittenRow, store_follower::STORE_CALL_TIMEOUT};

/// Delay after a write that got no response or was refused. A version conflict needs no delay.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A queued write.
#[derive(Debug)]
pub(super) enum StoreWrite {
    /// An assignment.
    Assignment(AssignmentWrite),
    /// The rows that put an era of the store in force.
    Settlement { expected: Vec<ExpectedRow>, writes: Vec<RowWrite> },
    /// The row of the quarantine.
    Quarantine { expected_version: u64, value: Bytes },
    /// The row of a leave.
    Leave { key: String, expected_version: u64, value: Bytes },
    /// The row of this node.
    NodeRow,
}

/// A write of an assignment. It succeeds only if the row still has the expected version.
#[derive(Debug)]
pub(super) struct AssignmentWrite {
    pub(super) service: String,
    pub(super) expected_version: u64,
    pub(super) assignment: Box<Assignment>,
    pub(super) expected_era_version: Option<u64>,
}

/// Writes the row of this node until that succeeds, then the queued writes one after another.
pub(super) async fn write_rows(
    context: Arc<NodeContext>,
    store: StoreClient,
    mut queue: mpsc::Receiver<StoreWrite>,
) {
    let mut connection = store.new_connection();
    write_node_row(&context, &mut connection).await;
    while let Some(write) = queue.recv().await {
        connection.set_address(context.settings.load().store.address);
        let event = match write {
            StoreWrite::Assignment(write) => write_assignment(&mut connection, write).await,
            StoreWrite::Settlement { expected, writes } => {
                let result = commit(&mut connection, &expected, &writes).await;
                ControlEvent::Settled { result }
            }
            StoreWrite::Quarantine { expected_version, value } => {
                let key = SharedRowKey::Quarantine.key();
                let expected = [ExpectedRow { key: key.clone(), version: expected_version }];
                let writes = [RowWrite::Put { key, value: value.clone() }];
                let result = commit(&mut connection, &expected, &writes).await;
                ControlEvent::QuarantineWritten { value, result }
            }
            StoreWrite::Leave { key, expected_version, value } => {
                let expected = [ExpectedRow { key: key.clone(), version: expected_version }];
                let writes = [RowWrite::Put { key, value: value.clone() }];
                let result = commit(&mut connection, &expected, &writes).await;
                ControlEvent::LeaveWritten { value, result }
            }
            StoreWrite::NodeRow => {
                write_node_row(&context, &mut connection).await;
                continue;
            }
        };
        context.control_events.send(event).await;
    }
}

async fn write_node_row(context: &NodeContext, connection: &mut StoreConnection) {
    let settings = context.settings.load_full();
    let own_row = NodeRow {
        address: settings.listeners.peers.to_string(),
        data_centre: settings.data_centre.clone(),
    };
    let key = SharedRowKey::Node(&settings.node_name).key();
    let announcement = [RowWrite::Put { key, value: Bytes::from(own_row.encode_to_vec()) }];
    loop {
        let sent_at = boot_now();
        match connection.commit(SHARED_ROWS_TABLE, &[], &announcement, STORE_CALL_TIMEOUT).await {
            Ok(version) => {
                context.own_row.send_replace(Some(WrittenRow { version, sent_at }));
                return;
            }
            Err(error) => {
                log::warn!(event = "announcement_failed", reason:% = error; "");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn write_assignment(
    connection: &mut StoreConnection,
    write: AssignmentWrite,
) -> ControlEvent {
    let key = SharedRowKey::Assignment(&write.service).key();
    let mut expected = vec![ExpectedRow { key: key.clone(), version: write.expected_version }];
    let value = Bytes::from(write.assignment.encode_row());
    let writes = [RowWrite::Put { key, value }];
    if let Some(version) = write.expected_era_version {
        expected.push(ExpectedRow { key: SharedRowKey::Era.key(), version });
    }
    let result = commit(connection, &expected, &writes).await;
    ControlEvent::Committed { service: write.service, assignment: write.assignment, result }
}

/// Writes rows, and waits after a failure that leaves the result open.
async fn commit(
    connection: &mut StoreConnection,
    expected: &[ExpectedRow],
    writes: &[RowWrite],
) -> Result<u64, StoreError> {
    let result = connection.commit(SHARED_ROWS_TABLE, expected, writes, STORE_CALL_TIMEOUT).await;
    let is_conclusive = matches!(&result, Ok(_) | Err(StoreError::Conflict { .. }));
    if !is_conclusive {
        sleep(RETRY_DELAY).await;
    }
    result
}
