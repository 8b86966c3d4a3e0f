//! Reads a config from a file or from the store.

use std::fs;

use clap::ArgMatches;
use galenastream_adapter::{FormatError, RoutingConfig, RowChange};

use crate::{CtlError, request::platform_store::PlatformStore};

/// Reads and decodes the file that `--file` names or, without one, the config in the store.
pub(crate) async fn read_config(matches: &ArgMatches) -> Result<RoutingConfig, CtlError> {
    let encoded = match matches.get_one::<String>("file") {
        Some(name) => fs::read(name).map_err(|error| CtlError::unreadable_file(name, &error))?,
        None => read_stored(matches).await?,
    };
    RoutingConfig::decode(&encoded).map_err(|error| CtlError::InvalidConfig { error })
}

async fn read_stored(matches: &ArgMatches) -> Result<Vec<u8>, CtlError> {
    let value = match PlatformStore::new(matches).read_config().await? {
        Some(RowChange::Decoded(row)) => row.value,
        Some(RowChange::Malformed(row)) => {
            let reason = format!("row {} of the store, version {}", row.key, row.version);
            return Err(CtlError::InvalidConfig { error: FormatError::Undecodable { reason } });
        }
        None => None,
    };
    let missing = CtlError::Missing {
        kind: "config in the store",
        remedy: "write a config; without one, nodes respond with 503",
    };
    Ok(value.ok_or(missing)?.to_vec())
}
