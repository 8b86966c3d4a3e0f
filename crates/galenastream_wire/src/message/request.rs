//! Requests that a node forwards to the node beside a target, and the replies to them.

use prost::{Enumeration, Message, bytes::Bytes};

use crate::{Header, SuspectRecord, TargetAnnouncement};

/// A caller's request, forwarded to the node beside the target that is to run it.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedRequest {
    /// The request id, from the header `x-request-id`.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The id of the target that is to run the request.
    #[prost(string, tag = "2")]
    pub target_id: String,
    /// The Unix time at which the target's incarnation started, in milliseconds. Together with
    /// `target_id` it names the only incarnation that may run the request.
    #[prost(uint64, tag = "3")]
    pub target_born_ms: u64,
    /// The HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// The path with the query.
    #[prost(string, tag = "5")]
    pub path: String,
    /// The host that the caller asked for.
    #[prost(string, tag = "6")]
    pub host: String,
    /// The end-to-end headers.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// The complete body.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    /// The time left until the deadline when the frame is sent, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub remaining_ms: u32,
    /// The priority; 0 is the most urgent.
    #[prost(uint32, tag = "10")]
    pub rank: u32,
    /// Whether the request may run more than once.
    #[prost(bool, tag = "11")]
    pub is_idempotent: bool,
    /// The key plus one; 0 if the request has no key.
    #[prost(uint32, tag = "12")]
    pub key_plus_one: u32,
    /// The time left of the target latency when the frame is sent, in milliseconds; 0 if it has
    /// passed. A later answer is worth less to the caller.
    #[prost(uint32, tag = "13")]
    pub prompt_ms: u32,
    /// The target latency of the request's route, in milliseconds from the arrival of the request.
    /// Admission uses it as a class: requests of a service with the same value take about the same
    /// time.
    #[prost(uint32, tag = "14")]
    pub target_latency_ms: u32,
    /// The boot clock of the sending node when the frame is created, in nanoseconds; 0 if the node
    /// does not tell. The receiving node estimates from it how long the frame was under way.
    #[prost(uint64, tag = "15")]
    pub sent_at_ns: u64,
    /// Whether the sending node attempts another target if this one refuses the request.
    #[prost(bool, tag = "16")]
    pub has_alternatives: bool,
    /// What the sending node remembers of the target's announcements; `None` if there is nothing.
    /// It matters if the process beside the target has restarted since.
    #[prost(message, optional, tag = "17")]
    pub remembered: Option<TargetAnnouncement>,
    /// What the sending node knows of crashes under the request; `None` if there were none.
    #[prost(message, optional, tag = "18")]
    pub suspect: Option<SuspectRecord>,
    /// For how many milliseconds the caller has waited before this attempt of its own; 0 if the
    /// sending node does not know.
    #[prost(uint32, tag = "19")]
    pub waited_ms: u32,
    /// Whether the answer is likely to be so long that it takes a share of the link of a VM. Earlier
    /// versions do not say so.
    #[prost(bool, tag = "20")]
    pub has_long_answer: bool,
    /// The time within which the sending node can still pass an answer on, in milliseconds, since its
    /// process is about to end; 0 if it is not. Earlier versions do not say so.
    #[prost(uint32, tag = "21")]
    pub answer_within_ms: u32,
}

/// The reply to a [`ForwardedRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedReply {
    /// Whether the request ran.
    #[prost(enumeration = "ReplyOutcome", tag = "1")]
    pub outcome: i32,
    /// Why the request did not run, or why its outcome is unknown.
    #[prost(enumeration = "ReplyReason", tag = "2")]
    pub reason: i32,
    /// The HTTP status of the target's response; 0 if there is no response.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The end-to-end headers of the target's response.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// The complete body of the target's response.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// The time after which to try again, in milliseconds, if the request did not run.
    #[prost(uint32, tag = "6")]
    pub retry_after_ms: u32,
    /// The number of requests that wait for the target or run there.
    #[prost(uint32, tag = "7")]
    pub pending: u32,
    /// The mean service time of the target, in microseconds; 0 if none has been measured.
    #[prost(uint32, tag = "8")]
    pub service_time_us: u32,
    /// What the target announces; `None` if the node knows nothing of the incarnation that the
    /// request names.
    #[prost(message, optional, tag = "9")]
    pub announcement: Option<TargetAnnouncement>,
    /// What the node knows of crashes under the request; `None` if there were none.
    #[prost(message, optional, boxed, tag = "10")]
    pub suspect: Option<Box<SuspectRecord>>,
}

/// Whether a forwarded request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ReplyOutcome {
    /// The request may or may not have run.
    Unknown = 0,
    /// The target answered.
    Answered = 1,
    /// The request was not sent to the target.
    NotSent = 2,
    /// The target received the request and did not run it.
    Rejected = 3,
}

/// Why the target did not answer a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum ReplyReason {
    /// No reason, since the target answered.
    None = 0,
    /// The target beside the node has another id or incarnation, or there is none.
    OtherTarget = 1,
    /// The target is leaving, or its node is shutting down.
    Draining = 2,
    /// The target holds no lease on the key.
    NotOwner = 3,
    /// Admission shed the request, since it could not be answered in time.
    Overloaded = 4,
    /// The target cannot be reached; no byte of the request was sent to it.
    TargetUnreachable = 5,
    /// The target responded that it did not run the request.
    TargetRejected = 6,
    /// The connection to the target broke after the request was sent.
    ConnectionLost = 7,
    /// The deadline passed before the answer arrived.
    DeadlinePassed = 8,
    /// The target's response is not a valid answer: it does not echo the request id, or it has a
    /// content encoding.
    BadAnswer = 9,
    /// The node beside the target could not be reached, or the connection to it broke.
    PeerLost = 10,
    /// The request cannot be forwarded, for example because of a malformed header.
    Invalid = 11,
    /// The caller left before the request was sent.
    CallerLeft = 12,
    /// The request limit that the target announces does not allow the request in time.
    RateLimited = 13,
    /// The target's response is longer than a node accepts, or the node had no memory left for it.
    AnswerTooLong = 14,
    /// The request is longer than a node takes from another one.
    RequestTooLong = 15,
    /// The target's response lacks its signature, so it is not known who made it.
    UnsignedAnswer = 16,
    /// The target crashed while the request was at work there.
    TargetCrashed = 17,
    /// The request is refused because it crashes targets.
    Quarantined = 18,
    /// The request is suspected of crashing targets, and the target is already running it.
    SuspectRunning = 19,
    /// Operators have requested that nothing be sent to the targets of the data centre.
    Evacuated = 20,
    /// The link of the VM, or the memory of its node, has no room for the long answer in time.
    NoRoomForAnswer = 21,
}

impl ReplyReason {
    /// Returns the word for the reason in logs and metrics.
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
            Self::RateLimited => "rate-limited",
            Self::AnswerTooLong => "answer-too-long",
            Self::RequestTooLong => "request-too-long",
            Self::UnsignedAnswer => "unsigned-answer",
            Self::TargetCrashed => "target-crashed",
            Self::Quarantined => "quarantined",
            Self::SuspectRunning => "suspect-running",
            Self::Evacuated => "evacuated",
            Self::NoRoomForAnswer => "no-room-for-answer",
        }
    }
}
