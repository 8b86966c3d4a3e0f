//! What happens to the control state, and what it asks for.

use bytes::Bytes;
use galenastream_adapter::{HeartbeatReply, NodeSettings, RoutingConfig, Row, StoreError};
use galenastream_ranges::Assignment;
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, SyncState};
use tokio::sync::oneshot;

/// The answer to a heartbeat or to a leave.
#[derive(Debug)]
pub enum HeartbeatAnswer {
    /// It is acknowledged.
    Reply(HeartbeatReply),
    /// It is malformed, or comes from another target than the one beside this node.
    Refused {
        /// Why.
        reason: String,
    },
}

/// What happens to the control state.
#[derive(Debug)]
pub enum ControlEvent {
    /// The target sent a heartbeat.
    Heartbeat {
        /// The id in the path.
        target_id: String,
        /// The body.
        body: Bytes,
        /// Where the answer goes.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// The target leaves.
    Deregister {
        /// The id in the path.
        target_id: String,
        /// Where the answer goes.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// Another node said something of itself.
    PeerStatus(NodeStatus),
    /// Another node passed on what it read from the store.
    PeerSyncState {
        /// What it read.
        state: SyncState,
        /// When it was asked.
        asked_at: BootInstant,
    },
    /// The store showed rows.
    Rows {
        /// The rows that are new to this node.
        rows: Vec<Row>,
        /// The version of the store.
        version: u64,
        /// An instant at which these rows were current.
        confirmed_at: BootInstant,
    },
    /// The store showed a config.
    Config {
        /// The config.
        config: Box<RoutingConfig>,
        /// The config as its writer encoded it.
        encoded: Bytes,
    },
    /// The store was reached, or not.
    StoreReached(bool),
    /// A write ended.
    Committed {
        /// The service whose assignment was written.
        service: String,
        /// The assignment that was written.
        assignment: Box<Assignment>,
        /// The version of the write, or why there is none.
        result: Result<u64, StoreError>,
    },
    /// The target beside this node refused a connection.
    TargetRefused,
    /// A target that listens beside this node was asked who it is.
    TargetIdentified {
        /// Its id.
        target_id: String,
    },
    /// The settings file has changed.
    Settings(Box<NodeSettings>),
    /// The process is about to stop.
    Closing,
    /// The process takes no more requests.
    Refusing,
}

/// What the control state asks for.
#[derive(Debug)]
pub enum Effect {
    /// Write an assignment if its row still has the given version.
    Commit {
        /// The service.
        service: String,
        /// The version that the row must have; 0 if it must not exist.
        expected_version: u64,
        /// What to write.
        assignment: Box<Assignment>,
    },
    /// Ask a node for what it read from the store.
    QueryPeer {
        /// The node.
        node: String,
    },
    /// Find out whether the target beside this node still takes connections.
    ProbeTarget,
    /// Ask the target that listens beside this node who it is.
    IdentifyTarget {
        /// The path that its service answers with the target's id.
        path: String,
    },
}
