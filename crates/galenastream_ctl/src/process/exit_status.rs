//! Exit codes.

use std::process::ExitCode;

/// Exit status of a run. The numbers are part of the interface for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command was refused or failed; nothing was changed.
    Failure = 1,
    /// The command line is invalid.
    UsageError = 2,
    /// Another version than the expected one is in force; nothing was changed.
    Conflict = 3,
    /// The store did not answer or refused the call; nothing was changed.
    StoreCallFailed = 4,
    /// A write got no answer, so it may have taken effect.
    OutcomeUnknown = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Section of the help text that lists the exit codes.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  refused or failed; nothing was changed
  2  invalid command line
  3  conflict: another version than the expected one is in force; nothing was changed
  4  the store did not answer or refused the call; nothing was changed
  5  a write got no answer; it may have taken effect";
