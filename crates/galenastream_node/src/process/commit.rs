//! Writes to the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, RowWrite, StoreClient, StoreError};
use galenastream_ranges::Assignment;
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use prost::Message;
use tokio::{sync::mpsc, time::sleep};

use super::{ControlEvent, NodeContext, store_follower::STORE_CALL_LIMIT};

/// Pause after a write that got no response or was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// An assignment that is to be written.
#[derive(Debug)]
pub(super) struct CommitOrder {
    pub(super) service: String,
    pub(super) expected_version: u64,
    pub(super) assignment: Box<Assignment>,
}

/// Announces this node, then writes assignments one after another.
pub(super) async fn write_rows(
    context: Arc<NodeContext>,
    store: StoreClient,
    mut orders: mpsc::Receiver<CommitOrder>,
) {
    let mut lane = store.new_connection();
    let settings = context.settings.load_full();
    let own_row = NodeRow {
        address: settings.listeners.peers.to_string(),
        data_centre: settings.data_centre.clone(),
    };
    let key = SharedRowKey::Node(&settings.node_name).key();
    let announcement = [RowWrite::Put { key, value: Bytes::from(own_row.encode_to_vec()) }];
    while let Err(error) =
        lane.commit(SHARED_ROWS_TABLE, &[], &announcement, STORE_CALL_LIMIT).await
    {
        log::warn!(event = "announcement_failed", reason:% = error; "");
        sleep(RETRY_PAUSE).await;
    }
    context.announced.notify_one();
    while let Some(order) = orders.recv().await {
        lane.set_address(context.settings.load().store.address);
        let key = SharedRowKey::Assignment(&order.service).key();
        let expected = [ExpectedRow { key: key.clone(), version: order.expected_version }];
        let value = Bytes::from(order.assignment.encode_row());
        let writes = [RowWrite::Put { key, value }];
        let result = lane.commit(SHARED_ROWS_TABLE, &expected, &writes, STORE_CALL_LIMIT).await;
        let may_repeat = matches!(&result, Ok(_) | Err(StoreError::Conflict { .. }));
        if !may_repeat {
            sleep(RETRY_PAUSE).await;
        }
        let event = ControlEvent::Committed {
            service: order.service,
            assignment: order.assignment,
            result,
        };
        if context.control_events.send(event).await.is_err() {
            return;
        }
    }
}
