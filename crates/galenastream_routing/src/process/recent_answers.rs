//! The requests that targets have answered lately.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastSet};

use crate::RequestFingerprint;

/// How long an answer is remembered at least, unless there are too many.
const PERIOD: Duration = Duration::from_millis(2_000);

/// The most answers that are remembered of one period.
const MAX_ANSWERS: usize = 8_192;

/// The requests that targets have answered within one to two periods.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: FastSet<RequestFingerprint>,
    earlier: FastSet<RequestFingerprint>,
    began_at: BootInstant,
}

impl RecentAnswers {
    pub(super) fn record(&mut self, fingerprint: RequestFingerprint, now: BootInstant) {
        self.expire(now);
        if self.current.len() >= MAX_ANSWERS {
            self.begin_period(now);
        }
        self.current.insert(fingerprint);
    }

    pub(super) fn contains(&mut self, fingerprint: RequestFingerprint, now: BootInstant) -> bool {
        self.expire(now);
        self.current.contains(&fingerprint) || self.earlier.contains(&fingerprint)
    }

    fn expire(&mut self, now: BootInstant) {
        let age = now.saturating_since(self.began_at);
        if age < PERIOD {
            return;
        }
        self.begin_period(now);
        if age >= 2 * PERIOD {
            self.earlier.clear();
        }
    }

    fn begin_period(&mut self, now: BootInstant) {
        self.began_at = now;
        std::mem::swap(&mut self.current, &mut self.earlier);
        self.current.clear();
    }
}
