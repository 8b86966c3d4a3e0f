//! The reply to a forwarded request.

use prost::{Enumeration, Message, bytes::Bytes};

use crate::{Header, RouteReply};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum AnswerOutcome {
    /// Nobody knows whether the request ran.
    Unknown = 0,
    /// The target ran the request; the response is whole.
    Ran = 1,
    /// The request did not run and never will.
    NotRun = 2,
}

/// Why a request did not run, or why its outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum AnswerReason {
    /// There is nothing to explain.
    None = 0,
    /// The receiver holds no live lease on the key's slice.
    NotOwner = 1,
    /// The slice is being moved to another owner.
    Moving = 2,
    /// The target or the node has no room for the request's class.
    Overloaded = 3,
    /// The deadline passed.
    DeadlinePassed = 4,
    /// The target refused the request or could not be reached.
    TargetUnavailable = 5,
    /// The node or the target is leaving.
    Draining = 6,
    /// The node waits for a newer version of the settings.
    SettingsBehind = 7,
    /// The ticket belongs to an earlier assignment, or its result is no longer kept.
    TicketExpired = 8,
    /// The connection to the target broke after the request was sent.
    ConnectionLost = 9,
    /// The request breaks a rule of the interface.
    Invalid = 10,
    /// The ticket's first request is still in progress.
    InProgress = 11,
}

/// The reply to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// What became of the request.
    #[prost(enumeration = "AnswerOutcome", tag = "1")]
    pub outcome: i32,
    /// Why, unless it ran.
    #[prost(enumeration = "AnswerReason", tag = "2")]
    pub reason: i32,
    /// The status of the target's response, if it ran.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The response's end-to-end headers.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// The response's body, whole.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// When to come back, if it did not run.
    #[prost(uint32, tag = "6")]
    pub retry_after_ms: u32,
    /// A better route, if the receiver is not the owner.
    #[prost(message, optional, tag = "7")]
    pub route: Option<RouteReply>,
    /// The ticket under which the owner ran the request.
    #[prost(message, optional, tag = "8")]
    pub ticket: Option<crate::TicketToken>,
    /// The owner's VM.
    #[prost(uint64, tag = "9")]
    pub owner: u64,
    /// The highest settings version in force at the sender.
    #[prost(uint64, tag = "10")]
    pub settings_version: u64,
}
