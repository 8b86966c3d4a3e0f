//! Keys and values of the rows that all nodes share.

use prost::Message;

/// The table in the platform's store with the rows that all nodes share.
pub const SHARED_ROWS_TABLE: &str = "galenastream";

const NODE_PREFIX: &str = "node/";
const KEYS_PREFIX: &str = "keys/";
const LEAVE_PREFIX: &str = "leave/";
const TREE_KEY: &str = "settings/tree";
const ERA_KEY: &str = "era";
const QUARANTINE_KEY: &str = "quarantine";

/// The key of a row in [`SHARED_ROWS_TABLE`], parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharedRowKey<'a> {
    /// Where a node can be reached, by the name of its VM. The value is a [`NodeRow`].
    Node(&'a str),
    /// The assignment of a service's keys to owners, by the name of the service. The value is
    /// encoded by `galenastream_ranges`.
    Assignment(&'a str),
    /// The leave of the target beside a node, by the name of the node's VM. The value is a
    /// [`LeaveRow`](crate::LeaveRow).
    Leave(&'a str),
    /// The tree of settings. The value is a TOML document.
    SettingsTree,
    /// The era of the store whose rows are in force. The value is an [`EraRow`](crate::EraRow).
    Era,
    /// The requests that are refused because they crash targets. The value is a
    /// [`QuarantineRow`](crate::QuarantineRow).
    Quarantine,
}

/// Where a node accepts connections from other nodes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NodeRow {
    /// The IP address and port.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The data centre of the node.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

impl<'a> SharedRowKey<'a> {
    /// Parses the key of a row. Returns `None` for any other key, since the table may also hold
    /// rows of other writers.
    pub fn parse(key: &'a str) -> Option<Self> {
        if key == TREE_KEY {
            return Some(Self::SettingsTree);
        }
        if key == ERA_KEY {
            return Some(Self::Era);
        }
        if key == QUARANTINE_KEY {
            return Some(Self::Quarantine);
        }
        if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            return Some(Self::Node(node));
        }
        if let Some(node) = key.strip_prefix(LEAVE_PREFIX) {
            return Some(Self::Leave(node));
        }
        key.strip_prefix(KEYS_PREFIX).map(Self::Assignment)
    }

    /// Returns the key as it is stored.
    pub fn key(self) -> String {
        match self {
            Self::Node(node) => format!("{NODE_PREFIX}{node}"),
            Self::Assignment(service) => format!("{KEYS_PREFIX}{service}"),
            Self::Leave(node) => format!("{LEAVE_PREFIX}{node}"),
            Self::SettingsTree => TREE_KEY.to_owned(),
            Self::Era => ERA_KEY.to_owned(),
            Self::Quarantine => QUARANTINE_KEY.to_owned(),
        }
    }
}
