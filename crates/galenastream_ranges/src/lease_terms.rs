//! For how long a lease may be granted.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// Share of a lease that is kept back, in hundredths: a target's clock may run 2% slow, and the
/// node's own may differ by less than 1%.
const CLOCK_MARGIN_PERCENT: u64 = 3;

/// The shortest lease that is worth granting; a target would lose it before its next heartbeat.
const SHORTEST_LEASE: Duration = Duration::from_millis(200);

/// For how long a lease may be granted, and when all earlier ones have run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// For how long a row may be trusted after it was confirmed to be current. No lease ends later.
    pub row_validity: Duration,
    /// The longest lease.
    pub max_lease: Duration,
}

impl LeaseTerms {
    /// Creates terms.
    pub const fn new(row_validity: Duration, max_lease: Duration) -> Self {
        Self { row_validity, max_lease }
    }

    /// The lease that may be granted now on a row that was current at `confirmed_at`.
    pub fn lease(&self, confirmed_at: BootInstant, now: BootInstant) -> Option<Duration> {
        let trusted = (confirmed_at + self.row_validity).saturating_since(now);
        let trusted = trusted * (100 - CLOCK_MARGIN_PERCENT) as u32 / 100;
        let lease = trusted.min(self.max_lease);
        (lease >= SHORTEST_LEASE).then_some(lease)
    }

    /// When a lease that was granted at `now` has run out at the target for certain.
    pub fn lease_end(&self, now: BootInstant, lease: Duration) -> BootInstant {
        now + lease * (100 + CLOCK_MARGIN_PERCENT) as u32 / 100
    }

    /// When every lease has run out that a row allows which was replaced before `replaced_by`.
    pub fn all_leases_end(&self, replaced_by: BootInstant) -> BootInstant {
        replaced_by + self.row_validity
    }

    /// When every lease has run out that an earlier process on this VM may have granted, if it
    /// ended before `started_at`.
    pub fn inherited_leases_end(&self, started_at: BootInstant) -> BootInstant {
        self.lease_end(started_at, self.max_lease)
    }
}
