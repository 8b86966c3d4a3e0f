//! `galenastreamctl`, the command line tool for operators.
//!
//! A run parses its arguments, executes one command against files, the platform's store or the
//! nodes, prints the result, and ends with an exit code that is stable for scripts.

mod process;
mod request;

use std::{ffi::OsString, process::ExitCode};

pub use process::*;

/// The most commonly used items.
pub mod prelude {
    pub use crate::{CtlError, ExitStatus, command, run};
}

/// Runs the program with these arguments, of which the first is the program's name.
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

/// Prints the help, the version or the usage error that clap returned.
fn report_usage(error: &clap::Error) -> ExitCode {
    let is_error = error.use_stderr();
    // If the output is closed, there is nowhere to report the failure.
    let _ = error.print();
    if is_error { ExitStatus::UsageError.into() } else { ExitStatus::Success.into() }
}
