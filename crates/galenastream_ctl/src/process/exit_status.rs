//! Exit codes.

use std::process::ExitCode;

/// How a run ended. The numbers are part of the interface for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Everything was done.
    Success = 0,
    /// The command was refused or failed; nothing was changed.
    Failure = 1,
    /// The command line is wrong.
    UsageError = 2,
    /// Another operator was first; nothing was changed.
    Conflict = 3,
    /// The store did not answer; nothing was changed.
    Unreachable = 4,
    /// The command was sent and its answer was lost: nobody knows whether it took effect.
    OutcomeUnknown = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The exit codes, for the help text.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  the command line is wrong
  3  conflict: another operator was first; nothing was changed
  4  the store did not answer; nothing was changed
  5  the answer was lost; it is not known whether the command took effect";
