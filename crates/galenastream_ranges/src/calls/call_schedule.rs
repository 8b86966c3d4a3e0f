//! When the next call about a range is due.

use std::time::Duration;

use galenastream_utils::BootInstant;

use crate::KeyRange;

/// Delay before a call is repeated that got no answer or was not sent, for the first failure.
const FIRST_RETRY: Duration = Duration::from_millis(80);

/// How often the delay doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Delay before a call is repeated that the target refused.
const REFUSED_RETRY: Duration = Duration::from_millis(1_000);

/// When the lease of a range is renewed, in hundredths of its duration after the grant was sent. A
/// grant without an answer leaves time for several retries.
const RENEWAL_PERCENT: u32 = 40;

/// How far the renewals of ranges are spread, in hundredths of the duration of the lease.
const SPREAD_PERCENT: u32 = 10;

/// When the next call about a range under a fencing token is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallSchedule {
    pub(super) due_at: BootInstant,
    pub(super) failures: u32,
    /// How often in a row the target has refused the fencing token.
    pub(super) fence_refusals: u32,
    /// When the target last denied that it holds a key of the range.
    pub(super) denied_at: Option<BootInstant>,
}

impl CallSchedule {
    pub(super) const fn due(due_at: BootInstant) -> Self {
        Self { due_at, failures: 0, fence_refusals: 0, denied_at: None }
    }

    /// The target has accepted a grant that was sent at `sent_at`.
    pub(super) fn record_accepted(
        &mut self,
        range: KeyRange,
        sent_at: BootInstant,
        lease: Duration,
    ) {
        self.failures = 0;
        self.fence_refusals = 0;
        self.due_at = sent_at + renewal_delay(range, lease);
    }

    /// The call got no answer or was not sent.
    pub(super) fn record_failure(&mut self, range: KeyRange, now: BootInstant) {
        let delay = FIRST_RETRY * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.due_at = now + delay + delay * spread(range) / 100;
    }

    /// The target has refused the call.
    pub(super) fn record_refusal(&mut self, now: BootInstant) {
        self.failures += 1;
        self.due_at = now + REFUSED_RETRY;
    }

    /// The target has refused the fencing token of a grant.
    pub(super) fn record_fence_refusal(&mut self, now: BootInstant) {
        self.fence_refusals += 1;
        self.record_refusal(now);
    }

    /// The target has denied that it holds a key. The next grant is due at once, but not in a loop.
    pub(super) fn record_denial(&mut self, now: BootInstant) {
        let may_repeat_at = self.denied_at.map_or(now, |it| it + REFUSED_RETRY);
        if now >= may_repeat_at {
            self.denied_at = Some(now);
        }
        self.due_at = self.due_at.min(now.max(may_repeat_at));
    }
}

/// The time from sending a grant to its renewal.
pub(super) fn renewal_delay(range: KeyRange, lease: Duration) -> Duration {
    lease * (RENEWAL_PERCENT + spread(range) * SPREAD_PERCENT / 100) / 100
}

/// A fixed number below 100 for a range, which differs between neighbours.
fn spread(range: KeyRange) -> u32 {
    (u32::from(range.first).wrapping_mul(2_654_435_769) >> 16) % 100
}
