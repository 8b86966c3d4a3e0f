//! `settings check`.

use clap::ArgMatches;
use galenastream_settings::SettingsWarning;
use serde::Serialize;

use crate::{CtlError, OutputFormat, request::settings_file::SettingsFile};

#[derive(Serialize)]
struct CheckResult<'a> {
    file: &'a str,
    places: usize,
    services: usize,
    warnings: &'a [SettingsWarning],
}

pub(crate) fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    file.print_warnings(output);
    let result = CheckResult {
        file: &file.name,
        places: file.tree.places().len(),
        services: file.tree.services().len(),
        warnings: file.tree.warnings(),
    };
    let text =
        format!("{}: valid, {} places, {} services", result.file, result.places, result.services);
    output.print(&result, &text);
    Ok(())
}
