//! How a store misbehaves.

use std::time::Duration;

/// How a store misbehaves until it is told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses every call with this status; nothing is done.
    Refuse(u16),
    /// It never answers; nothing is done.
    Silent,
    /// It does what it is asked and never answers.
    LoseAnswer,
    /// It does what it is asked, and the answers to writes are lost.
    LoseWriteAnswer,
    /// It does what it is asked after a while, if the condition still holds, and never answers.
    Late(Duration),
    /// It answers after a while.
    Slow(Duration),
    /// It no longer knows the changes of the past.
    DropHistory,
}
