//! `settings diff`: compares a settings file with the tree in force.

use clap::ArgMatches;
use galenastream_settings::{SettingsChange, check_removals, diff};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{platform_store::PlatformStore, settings_file::SettingsFile},
};

#[derive(Serialize)]
struct DiffResult {
    version_in_force: u64,
    changes: Vec<SettingsChange>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    let in_force = PlatformStore::new(matches).read_tree().await?;
    let changes = diff(&in_force.tree, &file.tree);
    print(output, &DiffResult { version_in_force: in_force.version, changes });
    check_removals(&in_force.tree, &file.tree)?;
    Ok(())
}

/// Formats one line per change: `+` for a new, `-` for a removed and `~` for a changed entry.
pub(crate) fn format_changes(changes: &[SettingsChange]) -> String {
    let mut lines = Vec::new();
    for change in changes {
        let path = &change.path;
        lines.push(match (&change.old, &change.new) {
            (Some(old), Some(new)) => format!("~ {path}: {old} -> {new}"),
            (Some(old), None) => format!("- {path}: {old}"),
            (None, Some(new)) => format!("+ {path}: {new}"),
            (None, None) => continue,
        });
    }
    lines.join("\n")
}

fn print(output: OutputFormat, result: &DiffResult) {
    let heading = match result.version_in_force {
        0 => "compared with the built-in defaults, since no tree is in force yet".to_owned(),
        version => format!("compared with version {version}"),
    };
    let text = match result.changes.as_slice() {
        [] => format!("{heading}: no differences"),
        changes => format!("{heading}:\n{}", format_changes(changes)),
    };
    output.print(result, &text);
}
