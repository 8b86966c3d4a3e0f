//! Pauses between attempts.

use std::time::Duration;

use crate::process::Outbox;

/// The pause after the first failed attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Doublings after which the pause no longer grows.
const MOST_DOUBLINGS: u32 = 6;

/// Pauses between attempts that double up to a limit, with jitter.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failed attempt and returns the pause before the next one.
    pub(crate) fn fail(&mut self, out: &mut Outbox) -> Duration {
        let pause = FIRST_PAUSE * (1 << self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        pause / 2 + out.jitter(pause)
    }

    /// Records a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
