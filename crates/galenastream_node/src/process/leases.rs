//! The leases that the local target holds.

use galenastream_ranges::KeyRange;
use galenastream_utils::BootInstant;

use super::LeasePage;

/// The leases of the last reply to the local target; they expire together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldLeases {
    /// Each range with its fencing token.
    ranges: Vec<(KeyRange, u64)>,
    /// Counted from the arrival of the heartbeat, shortly after the target sent it.
    valid_until: BootInstant,
}

impl HeldLeases {
    /// Creates the leases of one reply. The node counts them as held until `valid_until`.
    pub const fn new(ranges: Vec<(KeyRange, u64)>, valid_until: BootInstant) -> Self {
        Self { ranges, valid_until }
    }

    /// Whether a key was granted and the leases have not expired at `now`.
    pub fn covers(&self, key: u16, now: BootInstant) -> bool {
        now < self.valid_until && self.ranges.iter().any(|(range, _)| range.contains(key))
    }

    /// Whether any key of a range was granted, even if the leases have expired.
    pub fn overlaps(&self, range: KeyRange) -> bool {
        self.ranges.iter().any(|(it, _)| it.overlap(range).is_some())
    }

    /// The leases in the form of the status page.
    pub fn pages(&self, now: BootInstant) -> Vec<LeasePage> {
        let remaining = self.valid_until.saturating_since(now);
        let page = |(range, fence): &(KeyRange, u64)| LeasePage {
            first: range.first,
            last: range.last,
            fence: *fence,
            remaining,
        };
        self.ranges.iter().map(page).collect()
    }

    /// Whether exactly these ranges were granted, with the same fencing tokens.
    pub fn are_exactly(&self, ranges: &[(KeyRange, u64)]) -> bool {
        self.ranges == ranges
    }
}
