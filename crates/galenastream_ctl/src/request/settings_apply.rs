//! `settings apply`.

use clap::ArgMatches;
use galenastream_ownership::SettingsVersion;
use galenastream_platform::SettingsStore;
use galenastream_settings::{SettingsChange, check_update, diff};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{
        platform::{self, InForce},
        settings_diff::{changes_from_nothing, to_lines},
        settings_file::SettingsFile,
        stopped_services,
    },
};

#[derive(Serialize)]
struct ApplyResult {
    version: u64,
    previous_version: u64,
    changes: Vec<SettingsChange>,
}

/// Checks a file, then makes it the next version by one conditional write.
pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    file.print_warnings(output);
    let store = platform::store(matches);
    let in_force = platform::read_in_force(&store).await?;
    let read = in_force.as_ref().map_or(SettingsVersion(0), |in_force| in_force.version);
    check_expected(matches, read)?;
    let result = match in_force {
        Some(in_force) => replace(matches, &store, &in_force, &file).await?,
        None => publish_first(&store, &file).await?,
    };
    output.print(&result, &to_text(&result));
    Ok(())
}

fn check_expected(matches: &ArgMatches, read: SettingsVersion) -> Result<(), CtlError> {
    let Some(&expected) = matches.get_one::<u64>("expect") else {
        return Ok(());
    };
    let expected = SettingsVersion(expected);
    if expected == read {
        return Ok(());
    }
    Err(CtlError::Conflict { expected, in_force: read })
}

async fn replace(
    matches: &ArgMatches,
    store: &SettingsStore,
    in_force: &InForce,
    file: &SettingsFile,
) -> Result<ApplyResult, CtlError> {
    check_update(&in_force.tree, &file.tree, &stopped_services(matches))?;
    let previous_version = in_force.version.0;
    if in_force.toml == file.toml {
        let changes = Vec::new();
        return Ok(ApplyResult { version: previous_version, previous_version, changes });
    }
    let version = publish(store, in_force.version, file).await?;
    let changes = diff(&in_force.tree, &file.tree);
    Ok(ApplyResult { version: version.0, previous_version, changes })
}

async fn publish_first(
    store: &SettingsStore,
    file: &SettingsFile,
) -> Result<ApplyResult, CtlError> {
    let version = publish(store, SettingsVersion(0), file).await?;
    let changes = changes_from_nothing(&file.tree);
    Ok(ApplyResult { version: version.0, previous_version: 0, changes })
}

async fn publish(
    store: &SettingsStore,
    expected: SettingsVersion,
    file: &SettingsFile,
) -> Result<SettingsVersion, CtlError> {
    store
        .publish(expected, &file.toml)
        .await
        .map_err(|error| CtlError::from_publish(error, expected))
}

fn to_text(result: &ApplyResult) -> String {
    let (version, previous) = (result.version, result.previous_version);
    if version == previous {
        return format!("the file is version {version}, which is in force; nothing was changed");
    }
    let count = result.changes.len();
    if previous == 0 {
        return format!("version {version} applied, the first one, with {count} entries");
    }
    let changes = to_lines(&result.changes);
    format!("version {version} applied in place of version {previous}, {count} changes:\n{changes}")
}
