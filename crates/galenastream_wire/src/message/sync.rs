//! What nodes pass on that they read from the store.

use prost::{Message, bytes::Bytes};

/// Asks for what the receiver read from the store.
#[derive(Clone, PartialEq, Message)]
pub struct SyncQuery {
    /// The config that the sender has; the receiver sends a newer one only.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// The version of the shared rows that the sender has.
    #[prost(uint64, tag = "2")]
    pub rows_version: u64,
}

/// What a node read from the store.
#[derive(Clone, PartialEq, Message)]
pub struct SyncState {
    /// The newest config, as its writer encoded it; empty if the asker has it.
    #[prost(bytes = "bytes", tag = "1")]
    pub config: Bytes,
    /// The shared rows, if they are newer than the asker's.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<SharedRow>,
    /// The version of the shared rows that the sender has.
    #[prost(uint64, tag = "3")]
    pub rows_version: u64,
    /// How long ago these rows were confirmed to be current; `u64::MAX` if never.
    #[prost(uint64, tag = "4")]
    pub confirmed_age_ms: u64,
}

/// A row that all nodes share.
#[derive(Clone, PartialEq, Message)]
pub struct SharedRow {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its content.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}
