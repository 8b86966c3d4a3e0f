//! Violations of the invariants of a run.

use std::{fmt, time::Duration};

/// A violation of an invariant, as callers and targets observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two targets held a key at the same time.
    TwoOwners {
        /// The lowest key that both held.
        key: u16,
        /// The ids of the targets, the earlier owner first.
        targets: [String; 2],
        /// How long both held it.
        overlap: Duration,
    },
    /// A later owner of a key did not have a higher fencing token than an earlier one.
    FenceNotRaised {
        /// The lowest key that both held.
        key: u16,
        /// The ids of the targets, the earlier owner first.
        targets: [String; 2],
        /// The fencing tokens of the targets, in the same order.
        fences: [u64; 2],
    },
    /// A target got more requests than the limit that it announced allows.
    LimitExceeded {
        /// The id of the target.
        target: String,
        /// The most requests in any window.
        most: usize,
        /// The number of requests that the limit allows in a window.
        allowed: usize,
    },
    /// A request that crashes its targets went on to reach targets.
    CrashesGoOn {
        /// The path of the request.
        path: String,
        /// The service of its callers.
        caller_service: String,
        /// How many targets it reached later than the stable window after its third crash.
        retries: usize,
    },
    /// A request that crashes no target was refused as if it did.
    InnocentQuarantined {
        /// The id of the request.
        request_id: String,
    },
    /// A request that changes state ran more than once.
    RanTwice {
        /// The id of the request.
        request_id: String,
    },
    /// A request that changes state ran although the answer to its caller states that it did not.
    RanThoughRefused {
        /// The id of the request.
        request_id: String,
    },
    /// A caller received an answer that belongs to another request, has a wrong body or has an
    /// unexpected status.
    WrongAnswer {
        /// The id of the request.
        request_id: String,
    },
    /// A proper request was ended for good by an answer without the signature of a target.
    Denied {
        /// The id of the request.
        request_id: String,
        /// The status of the answer.
        status: u16,
    },
    /// An answer bears the signature of a target and another status than the target gave.
    OtherStatus {
        /// The id of the request.
        request_id: String,
        /// The status of the answer.
        status: u16,
    },
    /// A node ended although nothing stopped or killed it, or failed to stop.
    NodeEnded {
        /// The name of the node.
        node: String,
        /// Its exit status.
        status: String,
    },
    /// A node used more memory than its settings allow.
    MemoryExceeded {
        /// The name of the node.
        node: String,
        /// When it first used more, from the start of the traffic.
        at: Duration,
        /// The most memory that it used.
        peak_mb: u64,
        /// The memory that its settings allow.
        limit_mb: u64,
    },
    /// Too few requests were served once all faults had ended.
    NotRecovered {
        /// The class of the requests.
        class: String,
        /// How many requests ran.
        ran: usize,
        /// How many requests there were.
        total: usize,
    },
    /// A request did not run on the target that its successful answer names.
    NeverRan {
        /// The id of the request.
        request_id: String,
    },
}

impl Violation {
    /// Returns the name of the kind of the violation.
    pub fn kind(&self) -> String {
        let text = format!("{self:?}");
        text.split_whitespace().next().unwrap_or_default().to_owned()
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoOwners { key, targets: [one, other], overlap } => {
                write!(f, "key {key} was held by both {one} and {other} for {overlap:?}")
            }
            Self::FenceNotRaised { key, targets: [one, other], fences: [first, second] } => {
                write!(
                    f,
                    "key {key} was held by {one} with fencing token {first} and later by {other} \
                     with fencing token {second}; the token must rise"
                )
            }
            Self::LimitExceeded { target, most, allowed } => {
                write!(f, "{target} got {most} requests where its limit allows {allowed}")
            }
            Self::CrashesGoOn { path, caller_service, retries } => {
                write!(
                    f,
                    "{path} of {caller_service} reached targets {retries} times later than 3 s \
                     after it had crashed three"
                )
            }
            Self::InnocentQuarantined { request_id } => {
                write!(f, "{request_id} was refused like a request that crashes its targets")
            }
            Self::RanTwice { request_id } => write!(f, "{request_id} ran more than once"),
            Self::RanThoughRefused { request_id } => {
                write!(f, "{request_id} ran although its caller was told that it had not")
            }
            Self::WrongAnswer { request_id } => {
                write!(f, "{request_id} received an answer with a wrong id, body or status")
            }
            Self::Denied { request_id, status } => {
                write!(f, "{request_id} was ended for good with status {status} of no target")
            }
            Self::OtherStatus { request_id, status } => {
                write!(f, "{request_id} received status {status}, which its target did not give")
            }
            Self::NodeEnded { node, status } => write!(f, "{node} ended by itself: {status}"),
            Self::MemoryExceeded { node, at, peak_mb, limit_mb } => {
                write!(
                    f,
                    "{node} used {peak_mb} MB of memory where its limit is {limit_mb} MB, \
                     first at {at:?}"
                )
            }
            Self::NotRecovered { class, ran, total } => {
                write!(f, "only {ran} of {total} requests of {class} ran after all faults")
            }
            Self::NeverRan { request_id } => {
                write!(f, "{request_id} did not run on the target that its successful answer names")
            }
        }
    }
}
