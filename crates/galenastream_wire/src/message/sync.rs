//! Exchange of the config and the shared rows between nodes, for nodes that do not read them from
//! the store.

use prost::{Message, bytes::Bytes};

/// Asks a node for its config and its shared rows, as far as they are newer than the sender's.
#[derive(Clone, PartialEq, Message)]
pub struct SyncQuery {
    /// The version of the sender's config; the reply holds a config only if it is newer.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// The version of the sender's shared rows; the reply holds rows only if they are newer.
    #[prost(uint64, tag = "2")]
    pub rows_version: u64,
}

/// The config and the shared rows that a node knows: the reply to a [`SyncQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct SyncState {
    /// The sender's config, encoded as in the store; empty if it is not newer than the receiver's.
    #[prost(bytes = "bytes", tag = "1")]
    pub config: Bytes,
    /// All shared rows of the sender; empty if they are not newer than the receiver's.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<SharedRow>,
    /// The version of the sender's shared rows.
    #[prost(uint64, tag = "3")]
    pub rows_version: u64,
    /// Time since the sender last knew these rows to be current, in milliseconds; `u64::MAX` if it
    /// never did.
    #[prost(uint64, tag = "4")]
    pub confirmed_age_ms: u64,
}

/// A row of the table that all nodes share.
#[derive(Clone, PartialEq, Message)]
pub struct SharedRow {
    /// The key, see [`SharedRowKey`](crate::SharedRowKey).
    #[prost(string, tag = "1")]
    pub key: String,
    /// The content; empty if the row was removed.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// The version of the row's last change.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether the row was removed.
    #[prost(bool, tag = "4")]
    pub is_removed: bool,
}
