//! The history of a target.

use std::time::Instant;

use super::{TargetArrival, TargetEnd};

/// The history of a target, for [`check_invariants`](crate::check_invariants).
#[derive(Debug, Clone)]
pub struct TargetHistory {
    /// The id of the target.
    pub id: String,
    /// The service of the target.
    pub service: String,
    /// The requests that the target ran.
    pub runs: Vec<TargetRun>,
    /// The keys that the target held.
    pub held: Vec<HeldSpan>,
    /// The requests that arrived, also those that the target refused.
    pub arrivals: Vec<TargetArrival>,
    /// The request limits that the target announced.
    pub limits: Vec<LimitSpan>,
    /// The end of the target; `None` while it runs.
    pub end: Option<TargetEnd>,
}

/// A request limit that a target announced, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSpan {
    /// The limit in requests per second.
    pub per_s: f64,
    /// From when the responses announced the limit.
    pub from: Instant,
    /// Until when the responses announced the limit.
    pub until: Instant,
}

/// A request that a target ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRun {
    /// The id of the request.
    pub request_id: String,
    /// The service of the VM where the request entered, from its headers.
    pub caller_service: String,
    /// The time that the request may take, from its headers; zero if they do not name one.
    pub deadline_ms: u64,
    /// The key of the request, from its headers.
    pub key: Option<u16>,
    /// Whether the request changes state and thus may run only once: its method is not GET.
    pub changes_state: bool,
    /// The status with which the target answers the request, unless it ends before.
    pub status: u16,
    /// When the target started the request.
    pub began_at: Instant,
}

/// A range of keys that a target held, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSpan {
    /// The first key of the range.
    pub first: u16,
    /// The last key of the range.
    pub last: u16,
    /// The fencing token of the range.
    pub fence: u64,
    /// When the target received the lease that starts the span.
    pub from: Instant,
    /// When the target stopped holding the range, or when its lease ends.
    pub until: Instant,
}
