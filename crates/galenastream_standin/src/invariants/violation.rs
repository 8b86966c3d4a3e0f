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
    /// A request ran on no target although its caller received a successful answer.
    NeverRan {
        /// The id of the request.
        request_id: String,
    },
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
            Self::RanTwice { request_id } => write!(f, "{request_id} ran more than once"),
            Self::RanThoughRefused { request_id } => {
                write!(f, "{request_id} ran although its caller was told that it had not")
            }
            Self::WrongAnswer { request_id } => {
                write!(f, "{request_id} received an answer with a wrong id, body or status")
            }
            Self::NeverRan { request_id } => {
                write!(
                    f,
                    "{request_id} ran on no target although its caller received a successful answer"
                )
            }
        }
    }
}
