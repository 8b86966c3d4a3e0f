//! `settings apply`: puts a settings file in force.

use clap::ArgMatches;
use galenastream_settings::{SettingsChange, check_removals, diff};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{
        platform_store::PlatformStore, settings_diff::format_changes, settings_file::SettingsFile,
    },
};

#[derive(Serialize)]
struct ApplyResult {
    version: u64,
    previous_version: u64,
    changes: Vec<SettingsChange>,
}

/// Checks a file and puts it in force with one conditional write.
pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    let mut store = PlatformStore::new(matches);
    let in_force = store.read_tree().await?;
    let previous_version = in_force.version;
    if let Some(&expected) = matches.get_one::<u64>("expect")
        && expected != previous_version
    {
        return Err(CtlError::Conflict { expected, in_force: previous_version });
    }
    check_removals(&in_force.tree, &file.tree)?;
    let changes = diff(&in_force.tree, &file.tree);
    let version = match previous_version != 0 && in_force.toml == file.toml {
        true => previous_version,
        false => store.write_tree(previous_version, &file.toml).await?,
    };
    let result = ApplyResult { version, previous_version, changes };
    output.print(&result, &to_text(&result));
    Ok(())
}

fn to_text(result: &ApplyResult) -> String {
    let (version, previous) = (result.version, result.previous_version);
    if version == previous {
        return format!(
            "the file equals version {version}, which is in force; nothing was changed"
        );
    }
    let count = result.changes.len();
    let changes = format_changes(&result.changes);
    match previous {
        0 => format!("version {version} applied as the first tree, {count} entries:\n{changes}"),
        _ => format!(
            "version {version} applied in place of version {previous}, {count} changes:\n{changes}"
        ),
    }
}
