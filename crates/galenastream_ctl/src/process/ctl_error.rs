//! Why a command failed.

use std::{net::SocketAddrV4, path::PathBuf};

use galenastream_ownership::SettingsVersion;
use galenastream_platform::{GetError, PublishError};
use galenastream_settings::SettingsErrors;
use thiserror::Error;

use crate::ExitStatus;

/// Why a command failed. Each message names the remedy.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file could not be read.
    #[error("{}: {reason}\n  remedy: check the path and its permissions", file.display())]
    UnreadableFile {
        /// The file.
        file: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// A file of settings was refused.
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    /// The version in force is not valid for this release.
    #[error(
        "version {} in force cannot be read by this release:\n{errors}\n  remedy: use the galenastreamctl of the release that applied it", version.0
    )]
    InForceUnreadable {
        /// The version.
        version: SettingsVersion,
        /// What is wrong with it.
        errors: SettingsErrors,
    },
    /// No version has been applied yet.
    #[error(
        "no settings are in force yet\n  remedy: apply a first tree with `galenastreamctl settings apply FILE`"
    )]
    NoSettings,
    /// An older version was asked for.
    #[error(
        "version {} is not in force; version {} is\n  remedy: keep the files of older versions under version control; the platform is read for the one in force", asked.0, in_force.0
    )]
    NotInForce {
        /// The version that was asked for.
        asked: SettingsVersion,
        /// The version in force.
        in_force: SettingsVersion,
    },
    /// Another operator applied a version in the meantime.
    #[error(
        "conflict: the change was made for version {}, but version {} is in force; nothing was changed\n  remedy: run `galenastreamctl settings show`, merge your change into it, and apply the result with `--expect {}`", expected.0, in_force.0, in_force.0
    )]
    Conflict {
        /// The version that the change was made for.
        expected: SettingsVersion,
        /// The version in force.
        in_force: SettingsVersion,
    },
    /// The answer of the platform was lost.
    #[error(
        "it is not known whether version {} was applied ({reason})\n  remedy: run `galenastreamctl settings show`; apply again only if it shows the old version", version.0
    )]
    ApplyUnknown {
        /// The version that was to be applied.
        version: SettingsVersion,
        /// What happened.
        reason: String,
    },
    /// The platform did not answer.
    #[error(
        "the platform did not answer ({reason}); nothing was changed\n  remedy: check --table-address and --object-address, and try again when the platform answers"
    )]
    PlatformUnreachable {
        /// What happened.
        reason: String,
    },
    /// The platform refused the request or its answer cannot be read.
    #[error("{reason}")]
    PlatformRefused {
        /// What happened, with the remedy.
        reason: String,
    },
    /// A name that the settings do not have.
    #[error("{}", unknown_name(what, name, suggestion.as_deref(), known))]
    UnknownName {
        /// What was named, for example a service.
        what: &'static str,
        /// The name.
        name: String,
        /// The nearest known name.
        suggestion: Option<String>,
        /// The known names.
        known: Vec<String>,
    },
    /// The node did not answer.
    #[error(
        "node {node} did not answer ({reason})\n  remedy: check --node, or ask another node; any node of the service knows the same"
    )]
    NodeUnreachable {
        /// The node's admin address.
        node: String,
        /// What happened.
        reason: String,
    },
    /// The node's answer to a change was lost.
    #[error(
        "it is not known whether node {node} carried out the command ({reason})\n  remedy: look with `galenastreamctl targets` and `galenastreamctl cells` before repeating it"
    )]
    NodeUnknown {
        /// The node's admin address.
        node: String,
        /// What happened.
        reason: String,
    },
    /// The node refused the command.
    #[error("node {node} refused: {reason}")]
    NodeRefused {
        /// The node's admin address.
        node: String,
        /// The node's own words.
        reason: String,
    },
    /// The node's answer cannot be read.
    #[error(
        "the answer of node {node} cannot be read ({reason})\n  remedy: use the galenastreamctl of the node's release"
    )]
    NodeAnswer {
        /// The node's admin address.
        node: String,
        /// What is wrong.
        reason: String,
    },
    /// A drain was sent to a node that stands beside another target.
    #[error(
        "node {node} stands beside target {beside}, not {target}\n  remedy: give the admin address of the node beside {target} as --node"
    )]
    WrongNode {
        /// The node's admin address.
        node: String,
        /// The VM that the node stands in.
        beside: SocketAddrV4,
        /// The VM that was to be drained.
        target: SocketAddrV4,
    },
    /// A dangerous command without its confirmation.
    #[error(
        "nothing was done: the command needs a confirmation\n\n{explanation}\n  remedy: repeat the command with --yes if this is what you want"
    )]
    NotConfirmed {
        /// What the command would do.
        explanation: &'static str,
    },
    /// The process could not start its runtime.
    #[error("cannot start ({reason})\n  remedy: check the limits of processes and open files")]
    Runtime {
        /// What happened.
        reason: String,
    },
}

impl CtlError {
    /// The exit code that tells scripts what happened.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::PlatformUnreachable { .. } | Self::NodeUnreachable { .. } => {
                ExitStatus::Unreachable
            }
            Self::ApplyUnknown { .. } | Self::NodeUnknown { .. } => ExitStatus::Unknown,
            Self::UnreadableFile { .. }
            | Self::Settings(_)
            | Self::InForceUnreadable { .. }
            | Self::NoSettings
            | Self::NotInForce { .. }
            | Self::PlatformRefused { .. }
            | Self::UnknownName { .. }
            | Self::NodeRefused { .. }
            | Self::NodeAnswer { .. }
            | Self::WrongNode { .. }
            | Self::NotConfirmed { .. }
            | Self::Runtime { .. } => ExitStatus::Refused,
        }
    }

    /// The errors of the settings, if these are the cause.
    pub fn settings_errors(&self) -> Option<&SettingsErrors> {
        match self {
            Self::Settings(errors) | Self::InForceUnreadable { errors, .. } => Some(errors),
            _ => None,
        }
    }

    /// Reads the failure of a publication that expected `expected` to be in force.
    pub(crate) fn from_publish(error: PublishError, expected: SettingsVersion) -> Self {
        match error {
            PublishError::Conflict { current } => Self::Conflict { expected, in_force: current },
            PublishError::Unknown { version, reason } => Self::ApplyUnknown { version, reason },
            PublishError::NotPublished { reason } => Self::PlatformUnreachable { reason },
        }
    }
}

impl From<GetError> for CtlError {
    fn from(error: GetError) -> Self {
        match error {
            GetError::Unavailable { reason } => Self::PlatformUnreachable { reason },
            GetError::Refused { .. } | GetError::Damaged { .. } => {
                Self::PlatformRefused { reason: error.to_string() }
            }
        }
    }
}

fn unknown_name(what: &str, name: &str, suggestion: Option<&str>, known: &[String]) -> String {
    let remedy = match suggestion {
        Some(suggestion) => format!("write {suggestion}"),
        None => "use one of the known names".to_owned(),
    };
    let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
    format!("unknown {what} {name:?}\n  allowed: {known}\n  remedy: {remedy}")
}
