//! `settings diff`.

use clap::ArgMatches;
use galenastream_settings::{SettingsChange, SettingsTree, check_update, diff};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{platform, settings_file::SettingsFile, stopped_services},
};

#[derive(Serialize)]
struct DiffResult {
    version_in_force: u64,
    changes: Vec<SettingsChange>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    file.print_warnings(output);
    let store = platform::store(matches);
    let Some(in_force) = platform::read_in_force(&store).await? else {
        let result = DiffResult { version_in_force: 0, changes: changes_from_nothing(&file.tree) };
        print(output, &result);
        return Ok(());
    };
    let changes = diff(&in_force.tree, &file.tree);
    print(output, &DiffResult { version_in_force: in_force.version.0, changes });
    check_update(&in_force.tree, &file.tree, &stopped_services(matches))?;
    Ok(())
}

/// The changes that a first tree makes.
pub(crate) fn changes_from_nothing(tree: &SettingsTree) -> Vec<SettingsChange> {
    match SettingsTree::parse("nothing", "") {
        Ok(nothing) => diff(&nothing, tree),
        Err(_) => Vec::new(),
    }
}

/// One line for each change: `+` for new, `-` for vanished, `~` for changed entries.
pub(crate) fn to_lines(changes: &[SettingsChange]) -> String {
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
        0 => "no settings are in force yet".to_owned(),
        version => format!("compared with version {version}"),
    };
    let text = match result.changes.as_slice() {
        [] => format!("{heading}: no differences"),
        changes => format!("{heading}:\n{}", to_lines(changes)),
    };
    output.print(result, &text);
}
