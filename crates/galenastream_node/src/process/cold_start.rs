//! Whether the local target is cold: it bears few requests per second for some seconds.
//!
//! Load pattern: the targets of a data centre come back together, cold, while those elsewhere are full.
//! The whole traffic of the data centre would return to them at once.

use std::time::Duration;

use galenastream_routing::{ColdPeriod, RequestRate};
use galenastream_utils::BootInstant;

/// Added to the time for which a target says that it stays cold, for clocks that differ.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// How long a target counts as cold after the evacuation of its data centre, unless a report that was
/// made since says otherwise. Two heartbeats arrive within this time.
const UNREPORTED_TIME: Duration = Duration::from_millis(3_000);

/// What is known of whether the local target is cold.
#[derive(Debug, Default)]
pub(super) struct ColdStart {
    until: BootInstant,
    /// The last report was made after this instant.
    reported_after: BootInstant,
}

impl ColdStart {
    /// Records the remaining time that a heartbeat states. It was sent after `sent_after`, if that is
    /// known: heartbeats may be delayed.
    pub(super) fn record_heartbeat(
        &mut self,
        remaining: Duration,
        sent_after: Option<BootInstant>,
        now: BootInstant,
    ) {
        self.record(remaining, sent_after.unwrap_or_default(), now);
    }

    /// Records the remaining time that the answer to a health check states.
    pub(super) fn record_health(
        &mut self,
        remaining: Duration,
        asked_at: BootInstant,
        now: BootInstant,
    ) {
        self.record(remaining, asked_at, now);
    }

    /// The time until which the target bears only `limit`; `None` if it is not cold, or if there is
    /// no limit. `evacuation_ended_at` is when the last evacuation of its data centre was known to
    /// have ended: the target may have become cold meanwhile.
    pub(super) fn period(
        &self,
        limit: Option<RequestRate>,
        evacuation_ended_at: Option<BootInstant>,
        now: BootInstant,
    ) -> Option<ColdPeriod> {
        let limit = limit?;
        let is_unreported = |ended_at: &BootInstant| self.reported_after < *ended_at;
        let unreported_until =
            evacuation_ended_at.filter(is_unreported).map(|it| it + UNREPORTED_TIME);
        let until = unreported_until.map_or(self.until, |it| it.max(self.until));
        (until > now).then_some(ColdPeriod { limit, until })
    }

    fn record(&mut self, remaining: Duration, made_after: BootInstant, now: BootInstant) {
        let until = match remaining.is_zero() {
            true => now,
            false => now + remaining + CLOCK_MARGIN,
        };
        // A report that may be older than the last one shows at most that the target is cold again.
        if made_after < self.reported_after {
            self.until = self.until.max(until);
            return;
        }
        self.reported_after = made_after;
        self.until = until;
    }
}
