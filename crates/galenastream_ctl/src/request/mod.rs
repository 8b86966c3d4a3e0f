//! What lives as long as one command.

mod platform;
mod settings_apply;
mod settings_check;
mod settings_diff;
mod settings_explain;
mod settings_file;
mod settings_show;

use clap::ArgMatches;

use crate::{CtlError, OutputFormat};

/// Runs the command that the arguments name.
pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("settings", matches)) => run_settings(matches, output).await,
        _ => unreachable!("clap accepts no other command"),
    }
}

async fn run_settings(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("check", matches)) => settings_check::run(matches, output),
        Some(("diff", matches)) => settings_diff::run(matches, output).await,
        Some(("apply", matches)) => settings_apply::run(matches, output).await,
        Some(("show", matches)) => settings_show::run(matches, output).await,
        Some(("explain", matches)) => settings_explain::run(matches, output).await,
        _ => unreachable!("clap accepts no other command"),
    }
}
