//! Limits on the duration of leases.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// Safety margin for clock drift in thousandths: a target's clock may run 2% slow, and the node's own
/// clock may be off by less than 1%.
const CLOCK_MARGIN_PERMILLE: u32 = 31;

/// Safety margin between the clocks of two nodes, each of which may be off by less than 1%.
const NODE_CLOCKS_MARGIN_PERCENT: u32 = 2;

/// The minimum duration of a lease. A shorter one would expire before the target's next heartbeat.
const MIN_LEASE: Duration = Duration::from_millis(200);

/// Limits on the duration of leases, and bounds on when earlier leases have expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The maximum time from the confirmation that a row is current to the end of any lease granted
    /// on the row.
    pub row_validity: Duration,
    /// The maximum duration of a lease.
    pub max_lease: Duration,
}

impl LeaseTerms {
    /// The limits of leases on rows that state none, which all nodes have to know alike: none grants
    /// longer ones on such rows, whatever its settings permit, and none waits for less.
    pub const UNSTATED: Self = Self::new(Duration::from_secs(12), Duration::from_secs(6));

    /// Creates limits from the validity of a row and the maximum duration of a lease.
    pub const fn new(row_validity: Duration, max_lease: Duration) -> Self {
        Self { row_validity, max_lease }
    }

    /// Returns the duration of the lease that may be granted at `now` on a row that was confirmed
    /// to be current at `confirmed_at`, or `None` if it would be shorter than the minimum.
    pub fn lease(&self, confirmed_at: BootInstant, now: BootInstant) -> Option<Duration> {
        let validity = self.row_validity * (100 - NODE_CLOCKS_MARGIN_PERCENT) / 100;
        let remaining = (confirmed_at + validity).saturating_since(now);
        let remaining = remaining * (1_000 - CLOCK_MARGIN_PERMILLE) / 1_000;
        let lease = remaining.min(self.max_lease);
        (lease >= MIN_LEASE).then_some(lease)
    }

    /// Returns the instant by which a lease granted at `now` has expired at the target, even if the
    /// target's clock runs slow.
    pub fn lease_end(&self, now: BootInstant, lease: Duration) -> BootInstant {
        now + lease * (1_000 + CLOCK_MARGIN_PERMILLE) / 1_000
    }

    /// Returns the instant by which every lease granted on a row has expired, if the row was
    /// replaced before `replaced_by`.
    pub fn all_leases_end(&self, replaced_by: BootInstant) -> BootInstant {
        replaced_by + self.row_validity
    }

    /// Returns the shorter limits of the two.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            row_validity: self.row_validity.min(other.row_validity),
            max_lease: self.max_lease.min(other.max_lease),
        }
    }

    /// Returns the longer limits of the two.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            row_validity: self.row_validity.max(other.row_validity),
            max_lease: self.max_lease.max(other.max_lease),
        }
    }
}
