//! What lives as long as one command.

mod admin_client;
mod node_orders;
mod node_reports;
mod owner_query;
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
        Some(("cells", matches)) => node_reports::cells(matches, output).await,
        Some(("owner", matches)) => node_reports::owner(matches, output).await,
        Some(("targets", matches)) => node_reports::targets(matches, output).await,
        Some(("drain", matches)) => node_orders::drain(matches, output).await,
        Some(("move", matches)) => node_orders::move_key(matches, output).await,
        Some(("cell", matches)) => run_cell(matches, output).await,
        _ => unreachable!("clap accepts no other command"),
    }
}

async fn run_cell(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("takeover", matches)) => node_orders::takeover(matches, output).await,
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

/// The text of an argument that clap requires.
fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("clap requires the argument")
}

/// The services of which the operator says that no node runs.
fn stopped_services(matches: &ArgMatches) -> Vec<&str> {
    matches.get_many::<String>("stopped").unwrap_or_default().map(String::as_str).collect()
}
