//! The operators' command line.
//!
//! A run reads its arguments, does one request against the platform or a node, prints the result
//! and ends with an exit code that scripts can rely on.

mod process;
mod request;

use std::{ffi::OsString, process::ExitCode};

pub use process::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{CtlError, ExitStatus, command, run};
}

/// Runs the program with these arguments, the program's name first.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return report_usage(&error),
    };
    let output = OutputFormat::from_matches(&matches);
    match run_command(&matches, output) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            output.print_error(&error);
            error.exit_status().into()
        }
    }
}

fn run_command(matches: &clap::ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CtlError::Runtime { reason: error.to_string() })?;
    runtime.block_on(request::run(matches, output))
}

/// Prints help, the version or a usage error, whichever clap found.
fn report_usage(error: &clap::Error) -> ExitCode {
    let is_error = error.use_stderr();
    // A closed standard output leaves nothing to report the failure to.
    let _ = error.print();
    if is_error { ExitStatus::UsageError.into() } else { ExitStatus::Success.into() }
}
