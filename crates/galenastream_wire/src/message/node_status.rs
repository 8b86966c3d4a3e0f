//! The state that each node reports to all others.

use prost::Message;

use crate::SuspectRecord;

/// The state that each node reports to all others.
#[derive(Clone, PartialEq, Message)]
pub struct NodeStatus {
    /// The name of the node's VM.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The start of the process, in nanoseconds of the VM's boot clock. Distinguishes the process
    /// from earlier ones on the same VM.
    #[prost(uint64, tag = "2")]
    pub started_boot_ns: u64,
    /// The data centre of the node.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// The IP address and port at which the node accepts connections from other nodes.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The target beside the node; `None` if none is known.
    #[prost(message, optional, tag = "5")]
    pub target: Option<TargetStatus>,
    /// The version of the config in force; 0 if there is none.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Whether the process is shutting down.
    #[prost(bool, tag = "7")]
    pub is_closing: bool,
    /// Whether the process refuses all requests, in the last phase of its shutdown.
    #[prost(bool, tag = "12")]
    pub is_refusing: bool,
    /// Whether the node reaches the store.
    #[prost(bool, tag = "8")]
    pub reaches_store: bool,
    /// Whether the node knows from the table of the config that its config is the newest one; `None`
    /// if it only reports whether it reaches the store.
    #[prost(bool, optional, tag = "13")]
    pub confirms_config: Option<bool>,
    /// Whether the node states in its [`StatusSeen`] when it last knew that. If so,
    /// `confirms_config` alone proves nothing.
    #[prost(bool, tag = "14")]
    pub states_config_age: bool,
    /// The version of the shared rows that the node knows.
    #[prost(uint64, tag = "9")]
    pub rows_version: u64,
    /// Whether the node reads the shared rows from the store itself instead of from other nodes.
    #[prost(bool, tag = "11")]
    pub reads_rows: bool,
    /// Changes of ownership that the node cannot write itself, since it does not reach the store.
    #[prost(message, repeated, tag = "10")]
    pub facts: Vec<OwnershipFacts>,
    /// Requests that are suspected of crashing targets, as far as the receiver may not know.
    #[prost(message, repeated, tag = "15")]
    pub suspects: Vec<SuspectRecord>,
    /// A digest of the requests under which two targets or more have crashed, and of how many; 0 if
    /// there are none.
    #[prost(fixed64, tag = "16")]
    pub quarantine_digest: u64,
    /// The number of crashes under requests that the node has seen at its target.
    #[prost(uint64, tag = "17")]
    pub crash_count: u64,
    /// The evacuations of data centres that the node knows of, also those that have ended.
    #[prost(message, repeated, tag = "18")]
    pub evacuations: Vec<EvacuationRecord>,
}

/// The newest change of the evacuation of a data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvacuationRecord {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// The version of the change in the store.
    #[prost(uint64, tag = "2")]
    pub row_version: u64,
    /// Whether nothing may be sent to the targets of the data centre since then.
    #[prost(bool, tag = "3")]
    pub is_requested: bool,
}

/// The state of the target beside a node.
#[derive(Clone, PartialEq, Message)]
pub struct TargetStatus {
    /// The service of the target.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The id of the target.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The Unix time at which this incarnation started, in milliseconds; 0 if the target does not
    /// report it.
    #[prost(uint64, tag = "3")]
    pub born_ms: u64,
    /// The number of requests that the target processes concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether the target has announced that it leaves.
    #[prost(bool, tag = "5")]
    pub is_draining: bool,
    /// Whether heartbeats of the target are overdue.
    #[prost(bool, tag = "6")]
    pub is_silent: bool,
    /// The capacity of the target, in thousandths of a request per second.
    #[prost(uint64, tag = "7")]
    pub capacity_milli_per_s: u64,
    /// The load of the target's key ranges. Sent only to the planner.
    #[prost(message, repeated, tag = "8")]
    pub key_loads: Vec<KeyLoadRecord>,
    /// The request limit that the target announces, in thousandths of a request per second; `None`
    /// if it takes any number of requests.
    #[prost(uint64, optional, tag = "9")]
    pub limit_milli_per_s: Option<u64>,
    /// Whether a request should be sent to the target to find out whether its limit has ended, since
    /// it has got none for a while.
    #[prost(bool, tag = "10")]
    pub wants_trial: bool,
    /// Whether a release of the target's keys cannot count for some time, since leases of an earlier
    /// process of the node may last. Earlier versions do not say so.
    #[prost(bool, tag = "11")]
    pub releases_late: bool,
    /// The requests that the target takes while it is cold, in thousandths of a request per second;
    /// `None` if it is not cold.
    #[prost(uint64, optional, tag = "12")]
    pub cold_limit_milli_per_s: Option<u64>,
    /// For how long it stays cold, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub cold_remaining_ms: u64,
}

/// Changes of an assignment that a node cannot write, since it does not reach the store. Another
/// node writes them.
#[derive(Clone, PartialEq, Message)]
pub struct OwnershipFacts {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version of the assignment to which the changes apply.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The key ranges that the target beside the node has released.
    #[prost(message, repeated, tag = "3")]
    pub releases: Vec<ReleaseRecord>,
    /// The owners beside the node that no longer run, or whose leases have ended. Nodes of earlier
    /// versions state both here; others leave it empty.
    #[prost(message, repeated, tag = "4")]
    pub ended: Vec<IncarnationRecord>,
    /// The owners beside the node that no longer run.
    #[prost(message, repeated, tag = "5")]
    pub gone: Vec<IncarnationRecord>,
    /// The owners beside the node whose leases have ended and that may run.
    #[prost(message, repeated, tag = "6")]
    pub expired: Vec<IncarnationRecord>,
}

impl OwnershipFacts {
    /// Creates a list of no changes of this version of an assignment.
    pub fn new(service: impl Into<String>, version: u64) -> Self {
        Self { service: service.into(), version, ..Self::default() }
    }

    /// Whether there are no changes.
    pub const fn is_empty(&self) -> bool {
        self.releases.is_empty()
            && self.ended.is_empty()
            && self.gone.is_empty()
            && self.expired.is_empty()
    }
}

/// A key range that a target has released.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseRecord {
    /// The first key of the range.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// The last key of the range, inclusive.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    /// The handover token, with which the next owner takes over the keys.
    #[prost(string, tag = "3")]
    pub handover: String,
}

/// An incarnation of a target: the time from a start of its process to its end.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IncarnationRecord {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The Unix time at which this incarnation started, in milliseconds; 0 if the target does not
    /// report it.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
}

/// The load of a key range.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLoadRecord {
    /// The first key of the range.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// The last key of the range, inclusive.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    /// The request rate, in thousandths of a request per second.
    #[prost(uint64, tag = "3")]
    pub milli_per_s: u64,
}

/// Acknowledges a [`NodeStatus`], and states how long ago its sender knew which config is the newest
/// and what the node of the status has forgotten.
///
/// The age is part of a reply so that its receiver can count it from when the status was sent. A
/// message that arrives unasked may have been under way for any time.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusSeen {
    /// A version: at the instant of `config_age_ms`, the store had no config newer than this one.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Time since that instant, in milliseconds; `None` if the sender does not know a recent one or
    /// does not follow the shared rows.
    #[prost(uint64, optional, tag = "2")]
    pub config_age_ms: Option<u64>,
    /// For how long the target beside the node of the status has been leaving, in milliseconds, if the
    /// status does not say that it leaves: the node may have restarted since.
    #[prost(uint64, optional, tag = "3")]
    pub target_leaving_for_ms: Option<u64>,
}
