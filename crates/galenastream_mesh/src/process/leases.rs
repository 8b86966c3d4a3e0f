//! The leases that the target beside this node holds.

use galenastream_ownership::BootInstant;
use galenastream_ranges::KeyRange;

/// The leases that the target beside this node was granted last.
#[derive(Debug, Clone, Default)]
pub struct HeldLeases {
    ranges: Vec<KeyRange>,
    until: BootInstant,
}

impl HeldLeases {
    /// Creates the leases of one reply. `until` is a time at which the target holds them for sure.
    pub const fn new(ranges: Vec<KeyRange>, until: BootInstant) -> Self {
        Self { ranges, until }
    }

    /// Whether a key is held.
    pub fn covers(&self, key: u16, now: BootInstant) -> bool {
        now < self.until && self.ranges.iter().any(|it| it.contains(key))
    }

    /// Whether any key of a range was granted.
    pub fn overlaps(&self, range: KeyRange) -> bool {
        self.ranges.iter().any(|it| it.overlap(range).is_some())
    }
}
