//! What a node says of itself to all others.

use prost::Message;

/// What a node says of itself to all others.
#[derive(Clone, PartialEq, Message)]
pub struct NodeStatus {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Tells one process on the VM from the next: nanoseconds of its boot clock at its start.
    #[prost(uint64, tag = "2")]
    pub started_boot_ns: u64,
    /// The data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Where it takes connections of other nodes.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The target beside it.
    #[prost(message, optional, tag = "5")]
    pub target: Option<TargetStatus>,
    /// The version of the config that is in force.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Whether it is about to stop.
    #[prost(bool, tag = "7")]
    pub is_closing: bool,
    /// Whether it takes no more requests, since it is about to end.
    #[prost(bool, tag = "12")]
    pub is_refusing: bool,
    /// Whether it reaches the store.
    #[prost(bool, tag = "8")]
    pub reaches_store: bool,
    /// The version of the shared rows that it knows.
    #[prost(uint64, tag = "9")]
    pub rows_version: u64,
    /// Whether it follows the shared rows in the store itself.
    #[prost(bool, tag = "11")]
    pub reads_rows: bool,
    /// What it would write if it reached the store.
    #[prost(message, repeated, tag = "10")]
    pub facts: Vec<OwnershipFacts>,
}

/// What a node says of the target beside it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetStatus {
    /// Its service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Unix time of its start in milliseconds.
    #[prost(uint64, tag = "3")]
    pub born_ms: u64,
    /// Requests that it processes at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it is about to leave.
    #[prost(bool, tag = "5")]
    pub is_draining: bool,
    /// Whether its heartbeats have stopped.
    #[prost(bool, tag = "6")]
    pub is_silent: bool,
    /// Requests a second that it can process, in thousandths.
    #[prost(uint64, tag = "7")]
    pub capacity_milli_per_s: u64,
    /// The load of its keys, for the node that plans.
    #[prost(message, repeated, tag = "8")]
    pub key_loads: Vec<KeyLoadRecord>,
}

/// What a node that does not reach the store knows of an assignment, so that another one writes it.
#[derive(Clone, PartialEq, Message)]
pub struct OwnershipFacts {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version of the assignment for which the facts hold.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Keys that the target beside the node has released.
    #[prost(message, repeated, tag = "3")]
    pub releases: Vec<ReleaseRecord>,
    /// Owners beside the node that have ended.
    #[prost(message, repeated, tag = "4")]
    pub ended: Vec<IncarnationRecord>,
}

/// Keys that a target has released.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseRecord {
    /// The first key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// The last key.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    /// The token with which the next owner takes the keys over.
    #[prost(string, tag = "3")]
    pub handover: String,
}

/// One life of a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IncarnationRecord {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Unix time of its start in milliseconds.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
}

/// The load of a range of keys.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLoadRecord {
    /// The first key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// The last key.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    /// Requests a second, in thousandths.
    #[prost(uint64, tag = "3")]
    pub milli_per_s: u64,
}

/// The reply to a [`NodeStatus`].
#[derive(Clone, PartialEq, Message)]
pub struct StatusSeen {}
