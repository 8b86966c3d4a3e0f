//! The decisions of admission.

use galenastream_utils::BootInstant;

use super::queue::WaitId;
#[cfg(doc)]
use crate::Admission;

/// The decision on a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitDecision {
    /// The request takes a slot now. The caller has to call [`Admission::finish`] or
    /// [`Admission::finish_answered`] when it ends.
    Start,
    /// The request waits. If it has not started or been shed by `until`, the caller has to call
    /// [`Admission::cancel_wait`].
    Wait {
        /// Identifies the waiting request.
        id: WaitId,
        /// The instant at which the wait ends.
        until: BootInstant,
    },
    /// The request is refused.
    Shed {
        /// The time in milliseconds after which the caller may retry.
        retry_after_ms: u32,
    },
}

/// The effect of a request's arrival on it and on the waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// The decision on the request.
    pub decision: AdmitDecision,
    /// A waiting request of a lower priority that is shed to make room.
    pub evicted: Option<Evicted>,
}

/// A waiting request that is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evicted {
    /// Identifies the waiting request.
    pub id: WaitId,
    /// The time in milliseconds after which the caller may retry.
    pub retry_after_ms: u32,
}

/// The requests that leave the queue when slots are free.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dequeued {
    /// Requests that take a slot now.
    pub started: Vec<WaitId>,
    /// Requests that are shed because their waits have ended or they can no longer meet their
    /// deadlines.
    pub shed: Vec<Evicted>,
}
