//! Client of the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clap::ArgMatches;
use galenastream_adapter::{
    CONFIG_KEY, CONFIG_TABLE, EvacuationChange, ExpectedRow, Row, RowChange, RowWrite, StoreClient,
    StoreConnection, StoreError, VersionedRows,
};
use galenastream_settings::SettingsTree;
use galenastream_wire::{SHARED_ROWS_TABLE, SharedRowKey};

use crate::CtlError;

/// Connection to the platform's store, and the timeout of each call.
pub(crate) struct PlatformStore {
    pub(crate) address: SocketAddr,
    pub(crate) answer_timeout: Duration,
    connection: StoreConnection,
}

/// Settings tree in force.
pub(crate) struct TreeInForce {
    /// Version of the row that holds the tree; 0 if there is none.
    pub(crate) version: u64,
    pub(crate) toml: String,
    pub(crate) tree: SettingsTree,
}

impl PlatformStore {
    /// Creates a client from `--store` and `--timeout-ms`.
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        let address = *matches
            .get_one::<SocketAddr>("store")
            .expect("clap requires --store for this command");
        let timeout_ms = matches.get_one::<u64>("timeout_ms").copied().unwrap_or_default();
        Self {
            address,
            answer_timeout: Duration::from_millis(timeout_ms),
            connection: StoreClient::new(address).new_connection(),
        }
    }

    /// Reads all rows of a table that can be decoded.
    pub(crate) async fn read_table(&mut self, table: &str) -> Result<Vec<Row>, CtlError> {
        Ok(self.read_all(table).await?.into_rows())
    }

    /// Reads the row of the newest config; `None` if there is none.
    pub(crate) async fn read_config(&mut self) -> Result<Option<RowChange>, CtlError> {
        Ok(self.read_all(CONFIG_TABLE).await?.newest(CONFIG_KEY).cloned())
    }

    /// Reads the rows that ask for evacuations, also those that cannot be decoded.
    pub(crate) async fn read_evacuations(&mut self) -> Result<Vec<EvacuationChange>, CtlError> {
        Ok(self.read_all(CONFIG_TABLE).await?.evacuations())
    }

    async fn read_all(&mut self, table: &str) -> Result<VersionedRows, CtlError> {
        let read = self.connection.read_table(table, self.answer_timeout).await;
        read.map_err(|error| CtlError::store_call_failed(self.address, &error))
    }

    /// Reads the tree in force. Returns an empty tree, which overrides nothing, and version 0 if
    /// none has been applied yet.
    pub(crate) async fn read_tree(&mut self) -> Result<TreeInForce, CtlError> {
        let key = SharedRowKey::SettingsTree.key();
        let rows = self.read_table(SHARED_ROWS_TABLE).await?;
        let row = rows.into_iter().find(|it| it.key == key);
        let Some((version, value)) = row.and_then(|it| Some((it.version, it.value?))) else {
            let (toml, tree) = (String::new(), SettingsTree::default());
            return Ok(TreeInForce { version: 0, toml, tree });
        };
        let toml = String::from_utf8_lossy(&value).into_owned();
        let tree = SettingsTree::parse(&format!("version {version}"), &toml)
            .map_err(|errors| CtlError::UnreadableTree { version, errors })?;
        Ok(TreeInForce { version, toml, tree })
    }

    /// Writes a shared row if it still has the expected version. Returns the new version.
    pub(crate) async fn write_row(
        &mut self,
        key: String,
        expected_version: u64,
        value: Bytes,
    ) -> Result<u64, StoreError> {
        let condition = [ExpectedRow { key: key.clone(), version: expected_version }];
        let writes = [RowWrite::Put { key, value }];
        let timeout = self.answer_timeout;
        self.connection.commit(SHARED_ROWS_TABLE, &condition, &writes, timeout).await
    }

    /// Writes a tree if the one in force still has the expected version. Returns the new version.
    pub(crate) async fn write_tree(
        &mut self,
        expected_version: u64,
        toml: &str,
    ) -> Result<u64, CtlError> {
        let key = SharedRowKey::SettingsTree.key();
        let value = Bytes::copy_from_slice(toml.as_bytes());
        match self.write_row(key, expected_version, value).await {
            Ok(version) => Ok(version),
            Err(StoreError::Conflict { rows }) => {
                let in_force = rows.first().map_or(0, |it| it.version);
                Err(CtlError::Conflict { expected: expected_version, in_force })
            }
            Err(StoreError::NoResponse { reason }) => Err(CtlError::ApplyOutcomeUnknown { reason }),
            Err(error) => Err(CtlError::store_call_failed(self.address, &error)),
        }
    }
}
