//! The input and output of the control state.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{
    EvacuationChange, ExpectedRow, HeartbeatReply, MalformedRow, NodeSettings, Row, RowWrite,
    StoreError,
};
use galenastream_ranges::{Assignment, CallId, CallOutcome, PlannedCall, TargetIncarnation};
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, StatusSeen, SyncState};
use tokio::sync::oneshot;

use super::{CallBasis, StoredConfig, TargetHealth, TargetProbe};

/// The answer to a heartbeat or a deregistration.
#[derive(Debug)]
pub enum HeartbeatAnswer {
    /// The reply to a valid call.
    Reply(HeartbeatReply),
    /// The heartbeat is malformed or names an address other than that of the local target.
    Refused {
        /// The text that is sent to the target.
        reason: String,
    },
}

/// An event that the control state handles.
#[derive(Debug)]
pub enum ControlEvent {
    /// A target sent a heartbeat.
    Heartbeat {
        /// The target id in the path of the call.
        target_id: String,
        /// The undecoded body.
        body: Bytes,
        /// The channel for the answer.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// A target deregistered.
    Deregister {
        /// The target id in the path of the call.
        target_id: String,
        /// The channel for the answer.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// Another node sent its status.
    PeerStatus(Box<NodeStatus>),
    /// Another node acknowledged a status of this one.
    StatusAcknowledged {
        /// The name of the node.
        node: Arc<str>,
        /// The acknowledgement.
        seen: StatusSeen,
        /// When the status was sent.
        asked_at: BootInstant,
    },
    /// Another node answered a sync query.
    PeerSyncState {
        /// The answer: the config and the rows that this node did not have.
        state: SyncState,
        /// When the query was sent.
        asked_at: BootInstant,
    },
    /// A sync query got no answer.
    PeerQueryFailed,
    /// The table of shared rows was read, or a watch on it ended.
    Rows {
        /// The rows that were read or have changed; none if a watch ended without a change.
        rows: Vec<Row>,
        /// The version of the table that the rows reflect.
        version: u64,
        /// An instant at which these rows were current; `None` if that is not known.
        confirmed_at: Option<BootInstant>,
    },
    /// The newest changes of shared rows cannot be decoded. Precedes the other changes of the answer.
    RowsMalformed(Vec<MalformedRow>),
    /// The table of the config was read, or a watch on it ended.
    ConfigRead {
        /// What the store holds as the newest config; `None` if that has not changed since the last
        /// answer.
        stored: Option<StoredConfig>,
        /// An instant at which the store held no newer config than that; `None` if that is not
        /// known.
        confirmed_at: Option<BootInstant>,
    },
    /// The table of the config was read, or a watch on it ended: what that shows of evacuations.
    EvacuationsRead {
        /// The newest changes that the answer shows.
        changes: Vec<EvacuationChange>,
        /// The version as of which a full read shows all evacuations; `None` for a watch.
        read_version: Option<u64>,
    },
    /// A health check that [`Effect::CheckHealth`] requested was answered by the target with this id.
    HealthChecked {
        /// The target that answered.
        target_id: String,
        /// What it said.
        health: TargetHealth,
    },
    /// The answer to a health check of the local target said for how long it stays cold.
    ColdReported {
        /// The target that answered.
        target_id: String,
        /// The remaining time.
        remaining: Duration,
        /// When the health check was sent.
        asked_at: BootInstant,
    },
    /// The table of the config could not be read or watched.
    ConfigReadFailed,
    /// A call to the store succeeded (`true`) or failed (`false`).
    StoreReached(bool),
    /// The store named an era in its response.
    StoreEra(u64),
    /// The write of an [`Effect::Settle`] ended.
    Settled {
        /// The version of the write, or the error.
        result: Result<u64, StoreError>,
    },
    /// A write of an assignment ended.
    Committed {
        /// The service whose assignment was written.
        service: String,
        /// The assignment that was written.
        assignment: Box<Assignment>,
        /// The version of the written row, or the error.
        result: Result<u64, StoreError>,
    },
    /// A probe of the address of the local target was answered or refused.
    TargetProbed(TargetProbe),
    /// A call to the local target that changes its leases ended.
    LeaseCallEnded {
        /// The target that was called.
        target: TargetIncarnation,
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The local target refused a request, since it does not hold the key.
    KeyDenied {
        /// The target.
        target: TargetIncarnation,
        /// The key.
        key: u16,
    },
    /// The local target crashed under requests, which the quarantine has recorded.
    TargetCrashed,
    /// The write of the quarantine's row ended.
    QuarantineWritten {
        /// The value that was written.
        value: Bytes,
        /// The version of the written row, or the error.
        result: Result<u64, StoreError>,
    },
    /// The local target announced in a response that it leaves, or another node remembers that.
    TargetLeaving {
        /// The incarnation that leaves.
        target: TargetIncarnation,
        /// When its first announcement arrived.
        since: BootInstant,
    },
    /// The write of the row of a leave ended.
    LeaveWritten {
        /// The value that was written.
        value: Bytes,
        /// The version of the written row, or the error.
        result: Result<u64, StoreError>,
    },
    /// Changed settings of the process are in force.
    Settings(Box<NodeSettings>),
    /// The process is about to stop and still takes requests.
    Closing,
    /// The process is about to stop and refuses requests.
    Refusing,
}

impl ControlEvent {
    /// The event of another node's status.
    pub fn peer_status(status: NodeStatus) -> Self {
        Self::PeerStatus(Box::new(status))
    }
}

/// An action that the control state requests from the control loop.
#[derive(Debug)]
pub enum Effect {
    /// Write an assignment if its row still has the given version.
    Commit {
        /// The service.
        service: String,
        /// The version that the row must have for the write to succeed; 0 if it must not exist.
        expected_version: u64,
        /// The assignment to write.
        assignment: Box<Assignment>,
        /// The version that the row with the era in force must have; `None` if the store names no
        /// eras.
        expected_era_version: Option<u64>,
    },
    /// Write rows that put an era of the store in force, if the expected rows have their versions.
    Settle {
        /// The expected rows.
        expected: Vec<ExpectedRow>,
        /// The rows to write.
        writes: Vec<RowWrite>,
    },
    /// Write the row of the quarantine if it still has the given version; 0 if it must not exist.
    WriteQuarantine {
        /// The version that the row must have.
        expected_version: u64,
        /// The encoded row.
        value: Bytes,
    },
    /// Write the row of the leave of the local target if it still has the given version; 0 if it must
    /// not exist.
    WriteLeave {
        /// The key of the row.
        key: String,
        /// The version that the row must have.
        expected_version: u64,
        /// The encoded row.
        value: Bytes,
    },
    /// Write the row of this node again.
    AnnounceNode,
    /// Send a sync query to another node.
    QueryPeer {
        /// The name of the node.
        node: String,
    },
    /// Check whether the address of the local target still accepts connections.
    ProbeTarget {
        /// The local target.
        target: TargetIncarnation,
    },
    /// Call the local target to change its leases.
    CallTarget {
        /// The local target.
        target: TargetIncarnation,
        /// The call.
        call: PlannedCall,
        /// What the call was decided on, for its log lines.
        basis: CallBasis,
    },
    /// Send a health check to the target that listens beside this node, to learn its id.
    IdentifyTarget {
        /// The local target.
        target: TargetIncarnation,
        /// The health check path of its service; the answer carries the id in a header.
        path: String,
    },
    /// Send a health check to the target that listens beside this node, to learn whether it is leaving.
    CheckHealth {
        /// The health check path of its service.
        path: String,
    },
}
