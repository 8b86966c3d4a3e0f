//! Faults of a store.

use std::time::Duration;

/// A fault of a store, in effect until another one is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// The store executes and answers all calls.
    #[default]
    None,
    /// The store refuses every call with this status and executes none.
    Refuse(u16),
    /// The store refuses reads and feeds of this table with status 503.
    RefuseTable(&'static str),
    /// The store neither executes nor answers calls.
    Silent,
    /// The store executes calls and never answers.
    LoseAnswer,
    /// The store executes calls, and never answers writes.
    LoseWriteAnswer,
    /// The store executes calls after this delay, if their conditions still hold, and never
    /// answers.
    Late(Duration),
    /// The store executes and answers calls after this delay.
    Slow(Duration),
    /// The store answers feeds with status 410, as if it had dropped its history of changes.
    DropHistory,
    /// The store answers reads as of this long ago, with the versions of then.
    Stale(Duration),
    /// The store has dropped its history, and answers reads as of this long ago: feeds get status 410.
    StaleWithoutHistory(Duration),
    /// Feeds get no answer before the end of the fault, and then status 410.
    DeafFeeds,
}
