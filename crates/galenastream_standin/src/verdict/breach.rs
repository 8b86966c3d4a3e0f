//! What the logs of the targets show.

use std::fmt;

/// A breach of what must always hold, as the targets' logs show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// Two assignments of one key worked at the same time, or an earlier one after a later one.
    OverlappingTenures {
        /// The key.
        key: String,
        /// The one that worked first.
        first: Tenure,
        /// The one that worked before the first was done.
        second: Tenure,
    },
    /// One assignment was worked on by two targets.
    SharedEpoch {
        /// The slice.
        slice: u32,
        /// The epoch.
        epoch: u64,
        /// The targets.
        targets: [String; 2],
    },
    /// One ticket ran twice.
    TicketTwice {
        /// The ticket.
        ticket: String,
        /// The key.
        key: String,
        /// The requests that ran.
        request_ids: [String; 2],
    },
}

/// The time during which one target worked on one key under one assignment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// The target.
    pub target: String,
    /// The slice.
    pub slice: Option<u32>,
    /// The epoch.
    pub epoch: Option<u64>,
    /// When the first order that ran began.
    pub first_boot_ns: u64,
    /// When the last order ran.
    pub last_boot_ns: u64,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverlappingTenures { key, first, second } => {
                write!(f, "key {key}: {first} and {second} overlap")
            }
            Self::SharedEpoch { slice, epoch, targets: [one, other] } => {
                write!(f, "slice {slice} in epoch {epoch} was worked on by {one} and {other}")
            }
            Self::TicketTwice { ticket, key, request_ids: [one, other] } => {
                write!(f, "ticket {ticket} of key {key} ran in requests {one} and {other}")
            }
        }
    }
}

impl fmt::Display for Tenure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} (slice {:?}, epoch {:?}, {} to {} ns)",
            self.target, self.slice, self.epoch, self.first_boot_ns, self.last_boot_ns
        )
    }
}
