//! `settings check`: checks a settings file.

use clap::ArgMatches;
use serde::Serialize;

use crate::{CtlError, OutputFormat, request::settings_file::SettingsFile};

#[derive(Serialize)]
struct CheckResult<'a> {
    file: &'a str,
    places: usize,
    services: usize,
}

pub(crate) fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let file = SettingsFile::read(matches)?;
    let result = CheckResult {
        file: &file.name,
        places: file.tree.places().len(),
        services: file.tree.services().len(),
    };
    let text =
        format!("{}: valid, {} places, {} services", result.file, result.places, result.services);
    output.print(&result, &text);
    Ok(())
}
