//! The leases that the local target holds.

use galenastream_ranges::KeyRange;
use galenastream_utils::BootInstant;

use super::LeasePage;

/// The leases that the local target holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldLeases {
    ranges: Vec<HeldRange>,
}

/// A lease of the local target on a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: u64,
    /// Until when the node counts the range as held. The lease lasts at least as long.
    pub valid_until: BootInstant,
}

impl HeldLeases {
    /// Creates the leases of one reply to a heartbeat, which expire together.
    pub fn of_reply(ranges: &[(KeyRange, u64)], valid_until: BootInstant) -> Self {
        let ranges = ranges.iter().map(|&(range, fence)| HeldRange { range, fence, valid_until });
        Self { ranges: ranges.collect() }
    }

    /// Adds leases that were granted by calls.
    #[must_use]
    pub fn with_calls(mut self, held: Vec<(KeyRange, u64, BootInstant)>) -> Self {
        let held = held.into_iter();
        self.ranges.extend(held.map(|(range, fence, valid_until)| HeldRange {
            range,
            fence,
            valid_until,
        }));
        self
    }

    /// Whether a key was granted and its lease has not expired at `now`.
    pub fn covers(&self, key: u16, now: BootInstant) -> bool {
        self.ranges.iter().any(|it| now < it.valid_until && it.range.contains(key))
    }

    /// Whether any key of a range was granted, even if the leases have expired.
    pub fn overlaps(&self, range: KeyRange) -> bool {
        self.ranges.iter().any(|it| it.range.overlap(range).is_some())
    }

    /// The leases in the form of the status page.
    pub fn pages(&self, now: BootInstant) -> Vec<LeasePage> {
        let page = |it: &HeldRange| LeasePage {
            first: it.range.first,
            last: it.range.last,
            fence: it.fence,
            remaining: it.valid_until.saturating_since(now),
        };
        self.ranges.iter().map(page).collect()
    }

    /// Whether exactly these ranges were granted, with the same fencing tokens.
    pub fn are_exactly(&self, ranges: &[(KeyRange, u64)]) -> bool {
        self.ranges.iter().map(|it| (it.range, it.fence)).eq(ranges.iter().copied())
    }
}
