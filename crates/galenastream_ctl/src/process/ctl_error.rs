//! Why a command failed.

use std::{io, net::SocketAddr, path::PathBuf};

use galenastream_adapter::{FormatError, StoreError};
use galenastream_ranges::RowError;
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
    InvalidSettings(#[from] SettingsErrors),
    /// The tree in force is not valid for this release.
    #[error(
        "version {version} in force cannot be read by this release:\n{errors}\n  remedy: use the galenastreamctl of the release that applied it"
    )]
    UnreadableTree {
        /// The version.
        version: u64,
        /// What is wrong with it.
        errors: SettingsErrors,
    },
    /// Another operator applied a tree in the meantime.
    #[error(
        "conflict: the change was made for version {expected}, but version {in_force} is in force; nothing was changed\n  remedy: run `galenastreamctl settings show`, merge your change into it, and apply the result"
    )]
    Conflict {
        /// The version that the change was made for.
        expected: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The answer of the store was lost.
    #[error(
        "it is not known whether the tree was applied ({reason})\n  remedy: run `galenastreamctl settings show`; apply again only if it shows the old version"
    )]
    ApplyOutcomeUnknown {
        /// What happened.
        reason: String,
    },
    /// The store did not answer.
    #[error(
        "the store at {address} did not answer ({reason}); nothing was changed\n  remedy: check --store, and try again when the store answers"
    )]
    StoreUnreachable {
        /// Its address.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// There is nothing in force yet.
    #[error("there is no {kind} yet\n  remedy: {remedy}")]
    Missing {
        /// What is missing.
        kind: &'static str,
        /// What to do.
        remedy: &'static str,
    },
    /// A config that nodes refuse.
    #[error("nodes would refuse the config: {error}")]
    InvalidConfig {
        /// Why.
        error: FormatError,
    },
    /// A row of owners that cannot be read.
    #[error("the owners of {service} cannot be read: {error}")]
    UnreadableAssignment {
        /// The service.
        service: String,
        /// Why.
        error: RowError,
    },
    /// A name that is not known.
    #[error("{}", unknown_name_message(kind, name, suggestion.as_deref(), known))]
    UnknownName {
        /// What was named, for example a service.
        kind: &'static str,
        /// The name.
        name: String,
        /// The nearest known name.
        suggestion: Option<String>,
        /// The known names.
        known: Vec<String>,
    },
    /// The logs have no line about a request.
    #[error(
        "no line of the {log_count} logs names {request_id}\n  remedy: give the log of the node on the caller's VM first; lines about requests are bounded, and `request_lines_dropped` tells when some were left out"
    )]
    RequestNotInLogs {
        /// The request.
        request_id: String,
        /// How many logs were read.
        log_count: usize,
    },
    /// The process could not start its runtime.
    #[error("cannot start: {reason}\n  remedy: raise the limits of this shell")]
    Runtime {
        /// What the system says.
        reason: String,
    },
}

impl CtlError {
    /// The error of a file that could not be read.
    pub(crate) fn unreadable_file(file: impl Into<PathBuf>, error: &io::Error) -> Self {
        Self::UnreadableFile { file: file.into(), reason: error.to_string() }
    }

    /// The exit code that scripts see.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::UnreadableFile { .. }
            | Self::InvalidSettings(_)
            | Self::UnreadableTree { .. }
            | Self::Missing { .. }
            | Self::InvalidConfig { .. }
            | Self::UnreadableAssignment { .. }
            | Self::UnknownName { .. }
            | Self::RequestNotInLogs { .. }
            | Self::Runtime { .. } => ExitStatus::Failure,
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::StoreUnreachable { .. } => ExitStatus::Unreachable,
            Self::ApplyOutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
        }
    }

    /// The errors of a tree, if that is what went wrong.
    pub(crate) fn settings_errors(&self) -> Option<&SettingsErrors> {
        match self {
            Self::InvalidSettings(errors) | Self::UnreadableTree { errors, .. } => Some(errors),
            _ => None,
        }
    }

    /// A call that changes nothing has failed.
    pub(crate) fn store_unreachable(address: SocketAddr, error: &StoreError) -> Self {
        Self::StoreUnreachable { address, reason: error.to_string() }
    }
}

fn unknown_name_message(
    kind: &str,
    name: &str,
    suggestion: Option<&str>,
    known: &[String],
) -> String {
    let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
    let remedy = match suggestion {
        Some(suggestion) => format!("write {suggestion}"),
        None => "use one of the known names".to_owned(),
    };
    format!("there is no {kind} {name}\n  known: {known}\n  remedy: {remedy}")
}
