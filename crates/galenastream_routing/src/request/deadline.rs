//! The deadline of a request.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// Time before the end of a caller's patience at which its answer has to be ready. It covers the way
/// of the request and of the answer, and scheduling delays of a VM with a fraction of a core.
const ANSWER_MARGIN_MS: u32 = 25;

/// The margin is at most the time that the caller waits, divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// The instant from which an answer is of no use to the caller of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    at: BootInstant,
}

impl Deadline {
    /// Creates a deadline that lies `remaining_ms` after `arrived_at`.
    pub fn new(arrived_at: BootInstant, remaining_ms: u32) -> Self {
        Self { at: arrived_at + Duration::from_millis(u64::from(remaining_ms)) }
    }

    /// Creates the deadline of an answer that has to reach its caller, which waits for `wait_ms`
    /// from the time at which it sent the request.
    ///
    /// A caller whose patience ends without an answer closes its connection, which also ends the
    /// requests that it has pipelined behind.
    pub fn of_answer(arrived_at: BootInstant, wait_ms: u32) -> Self {
        let margin_ms = ANSWER_MARGIN_MS.min(wait_ms / ANSWER_MARGIN_DIVISOR);
        Self::new(arrived_at, wait_ms - margin_ms)
    }

    /// Returns the instant on this VM's boot clock.
    pub const fn at(self) -> BootInstant {
        self.at
    }

    /// Returns the remaining time, which is zero once the deadline has passed.
    pub const fn remaining(self, now: BootInstant) -> Duration {
        self.at.saturating_since(now)
    }

    /// Returns the remaining time in whole milliseconds, as messages carry it.
    pub fn remaining_ms(self, now: BootInstant) -> u32 {
        u32::try_from(self.remaining(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns whether no time remains.
    pub fn has_passed(self, now: BootInstant) -> bool {
        now >= self.at
    }
}
