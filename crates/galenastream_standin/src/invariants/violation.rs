//! A breach of what must always hold.

use std::{fmt, time::Duration};

/// A breach of what must always hold, as callers and targets saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two targets held a key at the same time.
    TwoOwners {
        /// A key that both held.
        key: u16,
        /// The targets.
        targets: [String; 2],
        /// For how long both held it.
        together: Duration,
    },
    /// A key came to another target without a higher fencing token.
    FenceNotRaised {
        /// The key.
        key: u16,
        /// The targets, the earlier owner first.
        targets: [String; 2],
        /// Their fencing tokens.
        fences: [u64; 2],
    },
    /// A request that may run only once ran twice.
    RanTwice {
        /// The request.
        request_id: String,
    },
    /// A request ran of which its caller was told that it had not.
    RanThoughRefused {
        /// The request.
        request_id: String,
    },
    /// A caller got an answer that is not its own or not whole.
    WrongAnswer {
        /// The request.
        request_id: String,
    },
    /// A request that a caller was told to have run ran nowhere.
    NeverRan {
        /// The request.
        request_id: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoOwners { key, targets: [one, other], together } => {
                write!(f, "key {key} was held by {one} and {other} together for {together:?}")
            }
            Self::FenceNotRaised { key, targets: [one, other], fences: [first, second] } => {
                write!(f, "key {key} went from {one} ({first}) to {other} ({second})")
            }
            Self::RanTwice { request_id } => write!(f, "{request_id} ran twice"),
            Self::RanThoughRefused { request_id } => {
                write!(f, "{request_id} ran although its caller was told that it had not")
            }
            Self::WrongAnswer { request_id } => {
                write!(f, "{request_id} got an answer that is not its own")
            }
            Self::NeverRan { request_id } => {
                write!(f, "{request_id} ran nowhere although its caller was answered")
            }
        }
    }
}
