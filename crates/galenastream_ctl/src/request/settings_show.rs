//! `settings show`: prints the settings tree in force.

use clap::ArgMatches;
use serde::Serialize;

use crate::{CtlError, OutputFormat, request::platform_store::PlatformStore};

#[derive(Serialize)]
struct ShowResult {
    version: u64,
    toml: String,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let in_force = PlatformStore::new(matches).read_tree().await?;
    if in_force.version == 0 {
        return Err(CtlError::Missing {
            kind: "settings tree in force",
            remedy: "apply one with `galenastreamctl settings apply FILE`",
        });
    }
    let result = ShowResult { version: in_force.version, toml: in_force.toml };
    // The version is a TOML comment, so that the output can be edited and applied again.
    let text = format!("# version {}\n{}", result.version, without_version(&result.toml));
    output.print(&result, &text);
    Ok(())
}

/// Strips the version comment of an earlier `settings show` whose output was applied.
fn without_version(toml: &str) -> &str {
    match toml.split_once('\n') {
        Some((first, rest)) if first.starts_with("# version ") => rest,
        _ => toml,
    }
}
