//! Keys and values of the shared rows.

use prost::Message;

/// The table of the rows that all nodes share.
pub const SHARED_ROWS_TABLE: &str = "galenastream";

const NODE_PREFIX: &str = "node/";
const KEYS_PREFIX: &str = "keys/";
const TREE_KEY: &str = "settings/tree";

/// What a row of the table is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharedRowKey<'a> {
    /// A node, by its VM's name. The value is a [`NodeRow`].
    Node(&'a str),
    /// The owners of the keys of a service. The value is an assignment of `galenastream_ranges`.
    Assignment(&'a str),
    /// The tree of settings. The value is TOML.
    SettingsTree,
}

/// Where a node takes connections of other nodes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NodeRow {
    /// The address and port.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

impl<'a> SharedRowKey<'a> {
    /// Reads the key of a row; `None` for a row of another writer.
    pub fn parse(key: &'a str) -> Option<Self> {
        if key == TREE_KEY {
            return Some(Self::SettingsTree);
        }
        if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            return Some(Self::Node(node));
        }
        key.strip_prefix(KEYS_PREFIX).map(Self::Assignment)
    }

    /// The key of the row.
    pub fn key(self) -> String {
        match self {
            Self::Node(node) => format!("{NODE_PREFIX}{node}"),
            Self::Assignment(service) => format!("{KEYS_PREFIX}{service}"),
            Self::SettingsTree => TREE_KEY.to_owned(),
        }
    }
}
