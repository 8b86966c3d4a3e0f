//! What a target did, for the judge of a run.

use std::time::Instant;

/// What a target did, for the judge of a run.
#[derive(Debug, Clone)]
pub struct TargetHistory {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The requests that it ran.
    pub runs: Vec<TargetRun>,
    /// The keys that it held.
    pub held: Vec<HeldSpan>,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRun {
    /// Its id.
    pub request_id: String,
    /// The service on whose VM it began.
    pub caller_service: String,
    /// The time that it was given, in milliseconds.
    pub deadline_ms: u64,
    /// Its key.
    pub key: Option<u16>,
    /// Whether it may run only once.
    pub changes_state: bool,
    /// When it began.
    pub began_at: Instant,
}

/// Keys that a target held for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSpan {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// The fencing token.
    pub fence: u64,
    /// When the target learned that it holds them.
    pub from: Instant,
    /// When it no longer held them.
    pub until: Instant,
}
