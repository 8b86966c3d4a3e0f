//! The settings in the platform.

use std::net::SocketAddr;

use clap::ArgMatches;
use galenastream_ownership::SettingsVersion;
use galenastream_platform::{
    ObjectClient, PlatformLimits, SETTINGS_BUCKET, SETTINGS_TABLE, SettingsStore, TableClient,
};
use galenastream_settings::SettingsTree;

use crate::CtlError;

/// The version in force, with its tree.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) version: SettingsVersion,
    pub(crate) toml: String,
    pub(crate) tree: SettingsTree,
}

/// The store at the addresses that the arguments name.
pub(crate) fn store(matches: &ArgMatches) -> SettingsStore {
    let mut limits = PlatformLimits::default();
    if let Some(&timeout_ms) = matches.get_one::<u64>("timeout_ms") {
        limits = limits.with_timeout_ms(timeout_ms);
    }
    let table = TableClient::new(&url(matches, "table_address"), SETTINGS_TABLE, limits);
    let objects = ObjectClient::new(&url(matches, "object_address"), SETTINGS_BUCKET, limits);
    SettingsStore::new(table, objects)
}

/// Reads the version in force; `None` before the first one.
pub(crate) async fn read_in_force(store: &SettingsStore) -> Result<Option<InForce>, CtlError> {
    let Some(pointer) = store.current().await? else {
        return Ok(None);
    };
    let version = pointer.version;
    let toml = store.load(&pointer).await?;
    let source_name = format!("version {}", version.0);
    let tree = SettingsTree::parse(&source_name, &toml)
        .map_err(|errors| CtlError::InForceUnreadable { version, errors })?;
    Ok(Some(InForce { version, toml, tree }))
}

fn url(matches: &ArgMatches, name: &str) -> String {
    let address = matches.get_one::<SocketAddr>(name).expect("clap requires the address");
    format!("http://{address}")
}
