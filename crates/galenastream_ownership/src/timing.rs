//! Instants of the boot clock, and the durations of the ownership protocol.

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

/// Parts per million by which the clocks of two VMs may differ in rate.
pub const CLOCK_RATE_MARGIN_PPM: u64 = 10_000;

/// Stretches a duration that another VM counts, so that it has passed there when it has here.
pub fn with_clock_margin(duration: Duration) -> Duration {
    duration + duration * u32::try_from(CLOCK_RATE_MARGIN_PPM).unwrap_or(u32::MAX) / 1_000_000
}

/// Durations of the ownership protocol, the same on every node of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant lasts, counted from when its holder sent the beat.
    pub lease_ms: u32,
    /// Interval between two beats of a holder.
    pub beat_ms: u32,
    /// How long a witness's promise lasts, counted from when the coordinator asked.
    pub promise_ms: u32,
    /// Interval between two promise requests of a coordinator.
    pub promise_beat_ms: u32,
    /// How long a coordinator without witnesses is entitled by one write of its row.
    pub store_term_ms: u32,
    /// Extra wait before the slices of a lost target that does not check grants are reassigned.
    pub order_limit_ms: u32,
    /// How long one request to the platform may take.
    pub store_timeout_ms: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 600,
            beat_ms: 150,
            promise_ms: 250,
            promise_beat_ms: 60,
            store_term_ms: 2_000,
            order_limit_ms: 1_000,
            store_timeout_ms: 500,
        }
    }
}
