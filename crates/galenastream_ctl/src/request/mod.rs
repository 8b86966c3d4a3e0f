//! Commands of operators, one module each, and the parts that they share.

mod config_check;
mod config_explain;
mod config_source;
mod evacuation;
mod key_history;
mod members;
mod node_pages;
mod platform_store;
mod quarantine;
mod ranges;
mod route;
mod settings_apply;
mod settings_check;
mod settings_diff;
mod settings_explain;
mod settings_file;
mod settings_show;
mod trace;
mod trace_key;

use clap::ArgMatches;

use crate::{CtlError, OutputFormat};

/// Runs the command that the arguments select.
pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("settings", matches)) => run_settings(matches, output).await,
        Some(("config", matches)) => match matches.subcommand() {
            Some(("check", matches)) => config_check::run(matches, output).await,
            Some(("explain", matches)) => config_explain::run(matches, output).await,
            _ => Ok(()),
        },
        Some(("ranges", matches)) => ranges::run(matches, output).await,
        Some(("quarantine", matches)) => match matches.subcommand() {
            Some(("list", matches)) => quarantine::list(matches, output).await,
            Some(("release", matches)) => quarantine::release(matches, output).await,
            _ => Ok(()),
        },
        Some(("members", matches)) => members::run(matches, output).await,
        Some(("evacuation", matches)) => evacuation::run(matches, output).await,
        Some(("route", matches)) => route::run(matches, output).await,
        Some(("trace", matches)) => trace::run(matches, output),
        Some(("trace-key", matches)) => trace_key::run(matches, output),
        // clap rejects a missing or unknown subcommand.
        _ => Ok(()),
    }
}

async fn run_settings(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("check", matches)) => settings_check::run(matches, output),
        Some(("diff", matches)) => settings_diff::run(matches, output).await,
        Some(("apply", matches)) => settings_apply::run(matches, output).await,
        Some(("show", matches)) => settings_show::run(matches, output).await,
        Some(("explain", matches)) => settings_explain::run(matches, output).await,
        _ => Ok(()),
    }
}

/// Returns the value of an argument that clap requires.
fn required_argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}
