//! Instants of the boot clock.

use std::{ops, time::Duration};

/// An instant on the boot clock of one VM (`CLOCK_BOOTTIME`), which also advances while the VM is
/// suspended.
///
/// Instants of different VMs are not comparable, so a receiver never uses an instant from a
/// message. Messages carry durations such as a remaining time or an age instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BootInstant {
    since_boot_ns: u64,
}

impl BootInstant {
    /// Creates the instant that lies `since_boot_ns` nanoseconds after the boot.
    pub const fn new(since_boot_ns: u64) -> Self {
        Self { since_boot_ns }
    }

    /// Returns the nanoseconds since the boot.
    pub const fn as_ns(self) -> u64 {
        self.since_boot_ns
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.since_boot_ns.saturating_sub(earlier.since_boot_ns))
    }

    /// Returns the instant that lies `duration` before this one, or the boot if it is before that.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        let duration_ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self::new(self.since_boot_ns.saturating_sub(duration_ns))
    }
}

impl ops::Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let duration_ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self::new(self.since_boot_ns.saturating_add(duration_ns))
    }
}
