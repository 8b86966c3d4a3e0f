//! The rows that all nodes share in the store.

use bytes::Bytes;
use galenastream_adapter::{Row, RowWrite};
use prost::Message;

/// The table of the rows that all nodes share.
pub(super) const FLEET_TABLE: &str = "galenastream";

const NODE_PREFIX: &str = "node/";
const KEYS_PREFIX: &str = "keys/";

/// Where a node takes connections of other nodes.
#[derive(Clone, PartialEq, Message)]
pub(super) struct NodeRow {
    #[prost(string, tag = "1")]
    pub(super) address: String,
    #[prost(string, tag = "2")]
    pub(super) data_centre: String,
}

/// What a row of the table is about.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FleetRow<'a> {
    /// A node, by its VM's name.
    Node(&'a str),
    /// The assignment of a service.
    Keys(&'a str),
    /// Something of another writer.
    Unknown,
}

impl<'a> FleetRow<'a> {
    pub(super) fn parse(row: &'a Row) -> Self {
        if let Some(node) = row.key.strip_prefix(NODE_PREFIX) {
            return Self::Node(node);
        }
        match row.key.strip_prefix(KEYS_PREFIX) {
            Some(service) => Self::Keys(service),
            None => Self::Unknown,
        }
    }
}

/// The key of the row that holds a service's assignment.
pub(super) fn keys_row(service: &str) -> String {
    format!("{KEYS_PREFIX}{service}")
}

/// The row in which a node says where it is.
pub(super) fn node_write(node: &str, row: &NodeRow) -> RowWrite {
    let value = Bytes::from(row.encode_to_vec());
    RowWrite::Put { key: format!("{NODE_PREFIX}{node}"), value }
}
