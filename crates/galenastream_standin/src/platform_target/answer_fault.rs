//! How a target's answers go wrong.

use std::time::Duration;

/// How a target's answers go wrong until it is told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetAnswerFault {
    /// They do not.
    #[default]
    None,
    /// Requests are refused and do not run.
    Shed,
    /// Requests run and fail.
    Fail,
    /// Requests run, and the connection breaks inside the answer.
    Truncate,
    /// Requests run, and the answer names another request.
    Stray,
    /// Requests take so long.
    Slow(Duration),
}
