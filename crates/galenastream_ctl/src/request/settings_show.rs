//! `settings show`.

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
            kind: "tree of settings in force",
            remedy: "apply a first one with `galenastreamctl settings apply FILE`",
        });
    }
    let result = ShowResult { version: in_force.version, toml: in_force.toml };
    // A comment, so that the output can be edited and applied again.
    let text = format!("# version {}\n{}", result.version, without_version(&result.toml));
    output.print(&result, &text);
    Ok(())
}

/// The tree without the comment that an earlier `settings show` put before it.
fn without_version(toml: &str) -> &str {
    match toml.split_once('\n') {
        Some((first, rest)) if first.starts_with("# version ") => rest,
        _ => toml,
    }
}
