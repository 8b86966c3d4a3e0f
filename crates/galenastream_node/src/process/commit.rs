//! Writes the rows of this node and of assignments to the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, RowWrite, StoreClient, StoreError};
use galenastream_ranges::Assignment;
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use prost::Message;
use tokio::{sync::mpsc, time::sleep};

use super::{ControlEvent, NodeContext, store_follower::STORE_CALL_TIMEOUT};

/// Delay after a write that got no response or was refused. A version conflict needs no delay.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A queued write of an assignment. It succeeds only if the row still has the expected version.
#[derive(Debug)]
pub(super) struct AssignmentWrite {
    pub(super) service: String,
    pub(super) expected_version: u64,
    pub(super) assignment: Box<Assignment>,
}

/// Writes the row of this node until that succeeds, then the queued assignments one after another.
pub(super) async fn write_rows(
    context: Arc<NodeContext>,
    store: StoreClient,
    mut queue: mpsc::Receiver<AssignmentWrite>,
) {
    let mut connection = store.new_connection();
    let settings = context.settings.load_full();
    let own_row = NodeRow {
        address: settings.listeners.peers.to_string(),
        data_centre: settings.data_centre.clone(),
    };
    let key = SharedRowKey::Node(&settings.node_name).key();
    let announcement = [RowWrite::Put { key, value: Bytes::from(own_row.encode_to_vec()) }];
    while let Err(error) =
        connection.commit(SHARED_ROWS_TABLE, &[], &announcement, STORE_CALL_TIMEOUT).await
    {
        log::warn!(event = "announcement_failed", reason:% = error; "");
        sleep(RETRY_DELAY).await;
    }
    context.own_row_written.notify_one();
    while let Some(write) = queue.recv().await {
        connection.set_address(context.settings.load().store.address);
        let key = SharedRowKey::Assignment(&write.service).key();
        let expected = [ExpectedRow { key: key.clone(), version: write.expected_version }];
        let value = Bytes::from(write.assignment.encode_row());
        let writes = [RowWrite::Put { key, value }];
        let result =
            connection.commit(SHARED_ROWS_TABLE, &expected, &writes, STORE_CALL_TIMEOUT).await;
        let is_conclusive = matches!(&result, Ok(_) | Err(StoreError::Conflict { .. }));
        if !is_conclusive {
            sleep(RETRY_DELAY).await;
        }
        let event = ControlEvent::Committed {
            service: write.service,
            assignment: write.assignment,
            result,
        };
        context.control_events.send(event).await;
    }
}
