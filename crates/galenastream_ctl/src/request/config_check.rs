//! `config check`: checks whether a config is valid.

use clap::ArgMatches;
use serde::Serialize;

use crate::{CtlError, OutputFormat, request::config_source::read_config};

#[derive(Serialize)]
struct CheckResult {
    version: u64,
    routes: usize,
    services: usize,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let config = read_config(matches).await?;
    let result = CheckResult {
        version: config.version.0,
        routes: config.routes.len(),
        services: config.services.len(),
    };
    let text = format!(
        "version {}: valid, {} routes, {} services",
        result.version, result.routes, result.services
    );
    output.print(&result, &text);
    Ok(())
}
