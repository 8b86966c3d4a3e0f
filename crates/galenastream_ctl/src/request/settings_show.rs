//! `settings show`.

use clap::ArgMatches;
use galenastream_ownership::SettingsVersion;
use serde::Serialize;

use crate::{CtlError, OutputFormat, request::platform};

#[derive(Serialize)]
struct ShowResult {
    version: u64,
    toml: String,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let store = platform::store(matches);
    let Some(pointer) = store.current().await? else {
        return Err(CtlError::NoSettings);
    };
    let asked = matches.get_one::<u64>("version").map(|&version| SettingsVersion(version));
    if let Some(asked) = asked.filter(|&asked| asked != pointer.version) {
        return Err(CtlError::NotInForce { asked, in_force: pointer.version });
    }
    let toml = store.load(&pointer).await?;
    let result = ShowResult { version: pointer.version.0, toml };
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
