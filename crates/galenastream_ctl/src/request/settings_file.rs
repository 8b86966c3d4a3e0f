//! Reads a settings file.

use std::fs;

use clap::ArgMatches;
use galenastream_settings::SettingsTree;

use crate::{CtlError, request::required_argument};

/// Settings file with a valid tree.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    pub(crate) name: String,
    pub(crate) toml: String,
    pub(crate) tree: SettingsTree,
}

impl SettingsFile {
    /// Reads and checks the settings file that the arguments name.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, CtlError> {
        let name = required_argument(matches, "file").to_owned();
        let toml =
            fs::read_to_string(&name).map_err(|error| CtlError::unreadable_file(&name, &error))?;
        let tree = SettingsTree::parse(&name, &toml)?;
        Ok(Self { name, toml, tree })
    }
}
