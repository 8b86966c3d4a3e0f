//! Requests on their way to the node beside a target.

use prost::{Enumeration, Message, bytes::Bytes};

use crate::Header;

/// A request for the target beside the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedRequest {
    /// The caller's id of the request.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The target that is to run it.
    #[prost(string, tag = "2")]
    pub target_id: String,
    /// The incarnation of the target.
    #[prost(uint64, tag = "3")]
    pub target_born_ms: u64,
    /// The request's method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// The request's path with its query.
    #[prost(string, tag = "5")]
    pub path: String,
    /// The request's host.
    #[prost(string, tag = "6")]
    pub host: String,
    /// The request's end-to-end headers.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// The request's body, whole.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    /// Time that is left when the frame is sent, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub remaining_ms: u32,
    /// The rank of the request; 0 is the most urgent.
    #[prost(uint32, tag = "10")]
    pub rank: u32,
    /// Whether it may run more than once.
    #[prost(bool, tag = "11")]
    pub is_idempotent: bool,
    /// The key, plus one; 0 if the request has none.
    #[prost(uint32, tag = "12")]
    pub key_plus_one: u32,
    /// Time within which an answer has its full worth, in milliseconds; 0 if it has passed.
    #[prost(uint32, tag = "13")]
    pub prompt_ms: u32,
    /// Time within which an answer to the request has its full worth, from its arrival; requests
    /// of a service that agree in it take about the same time.
    #[prost(uint32, tag = "14")]
    pub target_latency_ms: u32,
}

/// What became of a request.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedReply {
    /// What became of it.
    #[prost(enumeration = "ReplyOutcome", tag = "1")]
    pub outcome: i32,
    /// Why it did not run or why nobody knows.
    #[prost(enumeration = "ReplyReason", tag = "2")]
    pub reason: i32,
    /// The status of the target's response.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The end-to-end headers of the target's response.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// The body of the target's response, whole.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// When to come back, in milliseconds, if the request did not run.
    #[prost(uint32, tag = "6")]
    pub retry_after_ms: u32,
    /// Requests that wait or run at the target.
    #[prost(uint32, tag = "7")]
    pub pending: u32,
    /// The mean service time of the target in microseconds; 0 if nothing was measured.
    #[prost(uint32, tag = "8")]
    pub service_time_us: u32,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ReplyOutcome {
    /// Nobody knows whether it ran.
    Unknown = 0,
    /// The target answered.
    Answered = 1,
    /// It never reached the target.
    NotSent = 2,
    /// It reached the target, which did not run it.
    Rejected = 3,
}

/// Why a request was not answered by the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ReplyReason {
    /// There is nothing to explain.
    None = 0,
    /// The target is not beside this node, or is another incarnation.
    OtherTarget = 1,
    /// The target is about to leave.
    Draining = 2,
    /// The target does not hold the key.
    NotOwner = 3,
    /// It could not be served before its deadline.
    Overloaded = 4,
    /// The target cannot be reached.
    TargetUnreachable = 5,
    /// The target refused it.
    TargetRejected = 6,
    /// The connection to the target broke.
    ConnectionLost = 7,
    /// The deadline passed.
    DeadlinePassed = 8,
    /// The target's bytes were no answer to this request.
    BadAnswer = 9,
    /// The connection between the nodes broke.
    PeerLost = 10,
    /// The request is malformed.
    Invalid = 11,
    /// The caller left before the request was sent.
    CallerLeft = 12,
}

impl ReplyReason {
    /// The word in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::OtherTarget => "other-target",
            Self::Draining => "draining",
            Self::NotOwner => "not-owner",
            Self::Overloaded => "overloaded",
            Self::TargetUnreachable => "target-unreachable",
            Self::TargetRejected => "target-rejected",
            Self::ConnectionLost => "connection-lost",
            Self::DeadlinePassed => "deadline-passed",
            Self::BadAnswer => "bad-answer",
            Self::PeerLost => "peer-lost",
            Self::Invalid => "invalid",
            Self::CallerLeft => "caller-left",
        }
    }
}
