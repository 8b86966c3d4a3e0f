//! What the store holds as the newest config.

use bytes::Bytes;
use galenastream_adapter::{CONFIG_KEY, RoutingConfig, RowChange, VersionedRows};

/// The row of the config as an answer of the store shows it.
#[derive(Debug)]
pub struct StoredConfig {
    /// The version of the row, or of the answer if there is no row.
    pub row_version: u64,
    /// What the row holds.
    pub content: StoredConfigContent,
}

/// What the row of the config holds.
#[derive(Debug)]
pub enum StoredConfigContent {
    /// A valid config.
    Valid {
        /// The config.
        config: Box<RoutingConfig>,
        /// The config as its writer encoded it.
        encoded: Bytes,
    },
    /// A config that cannot be decoded.
    Unreadable {
        /// Its version, if that can be told.
        version: Option<u64>,
        /// Why it cannot be decoded.
        reason: String,
    },
    /// Nothing: there is no such row.
    Missing,
}

impl StoredConfig {
    /// Decodes what a full read of the table, or a watch, shows of the config: its newest change.
    /// Returns `None` if a watch shows no change.
    pub fn decode(answer: &VersionedRows, is_full_read: bool) -> Option<Self> {
        let row = match answer.newest(CONFIG_KEY) {
            Some(RowChange::Decoded(row)) => row,
            Some(RowChange::Malformed(row)) => {
                let reason = "the row is malformed".to_owned();
                let content = StoredConfigContent::Unreadable { version: None, reason };
                return Some(Self { row_version: row.version, content });
            }
            None if is_full_read => {
                let content = StoredConfigContent::Missing;
                return Some(Self { row_version: answer.version, content });
            }
            None => return None,
        };
        let row_version = row.version;
        let Some(encoded) = row.value.clone() else {
            log::warn!(event = "config_removed", row_version; "");
            return Some(Self { row_version, content: StoredConfigContent::Missing });
        };
        let content = match RoutingConfig::decode(&encoded) {
            Ok(config) => StoredConfigContent::Valid { config: Box::new(config), encoded },
            Err(error) => {
                log::warn!(event = "config_refused", row_version, reason:% = error; "");
                let version = RoutingConfig::decode_version(&encoded).map(|it| it.0);
                StoredConfigContent::Unreadable { version, reason: error.to_string() }
            }
        };
        Some(Self { row_version, content })
    }
}
