//! Faults of the answers of a target.

use std::time::Duration;

/// A fault of the answers of a target, in effect until another one is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetAnswerFault {
    /// Requests run, and their answers are correct.
    #[default]
    None,
    /// Requests are refused with status 503 and do not run.
    Shed,
    /// Requests run and are answered with status 500.
    Fail,
    /// Requests run, and the connection closes after the first half of the body of the answer.
    Truncate,
    /// Requests run, and the answer carries the id of another request.
    Stray,
    /// Requests run and are answered with this status and their id, but without the signature of the
    /// target.
    Unsigned(u16),
    /// Requests run for this much longer.
    Slow(Duration),
}
