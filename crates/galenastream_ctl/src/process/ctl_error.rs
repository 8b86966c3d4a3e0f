//! Errors of commands.

use std::{io, net::SocketAddr, path::PathBuf};

use galenastream_adapter::{FormatError, StoreError};
use galenastream_ranges::RowError;
use galenastream_settings::SettingsErrors;
use thiserror::Error;

use crate::ExitStatus;

/// Error of a command. Each message names the remedy.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file could not be read.
    #[error("{}: {reason}\n  remedy: check the path and its permissions", file.display())]
    UnreadableFile {
        /// Path of the file.
        file: PathBuf,
        /// I/O error.
        reason: String,
    },
    /// The settings are invalid, or a tree lacks entries that it does not list as removed.
    #[error("{0}")]
    InvalidSettings(#[from] SettingsErrors),
    /// The settings tree in force is not valid for this release.
    #[error(
        "this release cannot read version {version} of the settings tree, which is in force:\n{errors}\n  remedy: use the galenastreamctl of the release that applied it"
    )]
    UnreadableTree {
        /// Version of the tree.
        version: u64,
        /// Errors that were found in the tree.
        errors: SettingsErrors,
    },
    /// The version in force is not the one that the change was made for.
    #[error(
        "conflict: the change was made for version {expected}, but version {in_force} is in force; nothing was changed\n  remedy: run `galenastreamctl settings show`, merge your change into it, and apply the result"
    )]
    Conflict {
        /// Version that the change was made for.
        expected: u64,
        /// Version in force.
        in_force: u64,
    },
    /// The write got no answer from the store, so the tree may have been applied.
    #[error(
        "it is not known whether the tree was applied ({reason})\n  remedy: run `galenastreamctl settings show`; apply again only if it shows the old version"
    )]
    ApplyOutcomeUnknown {
        /// Error of the connection.
        reason: String,
    },
    /// The write of a release got no answer from the store, so it may have taken effect.
    #[error(
        "it is not known whether the request was released ({reason})\n  remedy: run `galenastreamctl quarantine list`; release it again if it is still refused"
    )]
    ReleaseOutcomeUnknown {
        /// Error of the connection.
        reason: String,
    },
    /// The row of the quarantine cannot be decoded.
    #[error(
        "the quarantine in the store cannot be read: {reason}\n  remedy: use the galenastreamctl of the release that the nodes run"
    )]
    UnreadableQuarantine {
        /// Error of the decoder.
        reason: String,
    },
    /// A node did not answer, or refused the call.
    #[error(
        "the call to the node at {address} failed ({reason})\n  remedy: check --node; `galenastreamctl members` lists the nodes"
    )]
    NodeCallFailed {
        /// Address of the node.
        address: SocketAddr,
        /// Error of the call.
        reason: String,
    },
    /// The store did not answer, refused the call, or sent an answer that cannot be decoded.
    #[error(
        "the call to the store at {address} failed ({reason}); nothing was changed\n  remedy: check --store, and try again when the store answers"
    )]
    StoreCallFailed {
        /// Address of the store.
        address: SocketAddr,
        /// Error of the call.
        reason: String,
    },
    /// The store holds no settings tree or no config yet.
    #[error("there is no {kind} yet\n  remedy: {remedy}")]
    Missing {
        /// What is missing, for example `config in the store`.
        kind: &'static str,
        /// Remedy that the message names.
        remedy: &'static str,
    },
    /// The config is not valid, so nodes would refuse it.
    #[error("nodes would refuse the config: {error}")]
    InvalidConfig {
        /// Error of the decoder.
        error: FormatError,
    },
    /// The key assignment of a service cannot be decoded.
    #[error("the key assignment of service {service} cannot be read: {error}")]
    UnreadableAssignment {
        /// Name of the service.
        service: String,
        /// Error of the decoder.
        error: RowError,
    },
    /// An argument names a service or a place that does not exist.
    #[error("{}", unknown_name_message(kind, name, suggestion.as_deref(), known))]
    UnknownName {
        /// Kind of the named item, for example `service`.
        kind: &'static str,
        /// Name that was given.
        name: String,
        /// Most similar known name, if one is similar enough.
        suggestion: Option<String>,
        /// All known names of this kind.
        known: Vec<String>,
    },
    /// The logs have no line about the request.
    #[error(
        "no line in {log_count} log files names request {request_id}\n  remedy: include the log of the node on the caller's VM; request lines are rate-limited, and `request_lines_dropped` reports how many were dropped"
    )]
    RequestNotInLogs {
        /// Id of the request.
        request_id: String,
        /// Number of log files that were read.
        log_count: usize,
    },
    /// The logs have no line about the ownership of the key.
    #[error(
        "no line in {log_count} log files concerns the ownership of key {key} of service {service}\n  remedy: check --service and --key, and include the logs of the nodes beside the service's targets and of the planner, at level info"
    )]
    KeyNotInLogs {
        /// Name of the service.
        service: String,
        /// The key.
        key: u16,
        /// Number of log files that were read.
        log_count: usize,
    },
    /// The async runtime could not be started.
    #[error(
        "cannot start the async runtime: {reason}\n  remedy: raise the resource limits of this shell"
    )]
    Runtime {
        /// Error of the operating system.
        reason: String,
    },
}

impl CtlError {
    /// Creates the error for a file that could not be read.
    pub(crate) fn unreadable_file(file: impl Into<PathBuf>, error: &io::Error) -> Self {
        Self::UnreadableFile { file: file.into(), reason: error.to_string() }
    }

    /// Returns the exit status that this error ends the process with.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::UnreadableFile { .. }
            | Self::InvalidSettings(_)
            | Self::UnreadableTree { .. }
            | Self::Missing { .. }
            | Self::InvalidConfig { .. }
            | Self::UnreadableAssignment { .. }
            | Self::UnreadableQuarantine { .. }
            | Self::UnknownName { .. }
            | Self::RequestNotInLogs { .. }
            | Self::KeyNotInLogs { .. }
            | Self::NodeCallFailed { .. }
            | Self::Runtime { .. } => ExitStatus::Failure,
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::StoreCallFailed { .. } => ExitStatus::StoreCallFailed,
            Self::ApplyOutcomeUnknown { .. } | Self::ReleaseOutcomeUnknown { .. } => {
                ExitStatus::OutcomeUnknown
            }
        }
    }

    /// Returns the errors of a settings tree, if the error has any.
    pub(crate) fn settings_errors(&self) -> Option<&SettingsErrors> {
        match self {
            Self::InvalidSettings(errors) | Self::UnreadableTree { errors, .. } => Some(errors),
            _ => None,
        }
    }

    /// Creates the error for a failed call. Its message states that nothing was changed, so it must
    /// not be used for a write without an answer.
    pub(crate) fn store_call_failed(address: SocketAddr, error: &StoreError) -> Self {
        Self::StoreCallFailed { address, reason: error.to_string() }
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
