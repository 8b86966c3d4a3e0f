//! Instants of the boot clock.

use std::{ops, time::Duration};

/// An instant on one VM's boot clock (`CLOCK_BOOTTIME`), which also advances while the VM sleeps.
///
/// Instants of different VMs are not comparable; no message carries one that its receiver uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BootInstant {
    since_boot_ns: u64,
}

impl BootInstant {
    /// Creates the instant that lies `since_boot_ns` after the boot.
    pub const fn new(since_boot_ns: u64) -> Self {
        Self { since_boot_ns }
    }

    /// Nanoseconds since the boot.
    pub const fn as_ns(self) -> u64 {
        self.since_boot_ns
    }

    /// The time from `earlier` to this instant, zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.since_boot_ns.saturating_sub(earlier.since_boot_ns))
    }
}

impl ops::Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let duration_ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self::new(self.since_boot_ns.saturating_add(duration_ns))
    }
}
