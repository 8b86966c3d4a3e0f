//! The request limit of the local target, as the planner and the other nodes see it.
//!
//! Load pattern: a target with a limit close to zero gets no requests while others have room, or its
//! keys move to others. Without a request, no response shows that the limit has ended.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::TargetLimit;

/// Time for which a limit has to last before it counts as the capacity of its target. A move of
/// keys costs more than a limit of a few seconds.
const MIN_DURATION: Duration = Duration::from_millis(3_000);

/// Time without a request after which the target wants a trial. The request limit lets a request
/// start at least this often.
const TRIAL_AFTER: Duration = Duration::from_secs(2);

/// If targets hold keys, a trial moves keys there and perhaps back. It is wanted after the time for
/// which the limit has lasted, divided by this, within the two bounds below.
const KEYED_TRIAL_DIVISOR: u32 = 4;
const KEYED_TRIAL_MIN: Duration = Duration::from_secs(4);
const KEYED_TRIAL_MAX: Duration = Duration::from_secs(60);

/// The request limit that an incarnation of the local target announces.
#[derive(Debug)]
pub(super) struct LocalLimit {
    /// What is announced.
    pub(super) announced: TargetLimit,
    /// Since when the incarnation has announced limits without a break.
    since: BootInstant,
    /// Since when a request should be sent to find out whether the limit has ended.
    trial_wanted_since: Option<BootInstant>,
}

impl LocalLimit {
    /// Follows an `earlier` limit, if there was one.
    pub(super) fn new(
        announced: TargetLimit,
        earlier: Option<Self>,
        holds_keys: bool,
        now: BootInstant,
    ) -> Self {
        let earlier = earlier.filter(|it| it.announced.target == announced.target);
        let since = earlier.as_ref().map_or(now, |it| it.since);
        let trial_after = match holds_keys {
            true => (now.saturating_since(since) / KEYED_TRIAL_DIVISOR)
                .clamp(KEYED_TRIAL_MIN, KEYED_TRIAL_MAX),
            false => TRIAL_AFTER,
        };
        let is_wanted = now.saturating_since(announced.last_exchange_at) >= trial_after;
        let wanted_since = earlier.and_then(|it| it.trial_wanted_since).unwrap_or(now);
        Self { announced, since, trial_wanted_since: is_wanted.then_some(wanted_since) }
    }

    /// Since when a trial has been wanted: a request that is sent to find out whether the limit has
    /// ended. `None` if requests show it anyway.
    pub(super) const fn trial_wanted_since(&self) -> Option<BootInstant> {
        self.trial_wanted_since
    }

    /// Returns the capacity of the target from its measured capacity, both in thousandths of a
    /// request per second. Zero stands for an unknown one.
    pub(super) fn capacity(&self, measured_milli_per_s: u64, now: BootInstant) -> u64 {
        if now.saturating_since(self.since) < MIN_DURATION {
            return measured_milli_per_s;
        }
        let limit = self.announced.rate.milli_per_s().max(1);
        match measured_milli_per_s {
            0 => limit,
            measured => measured.min(limit),
        }
    }
}
