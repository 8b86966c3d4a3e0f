//! Boot clocks that run at different rates.

use galenastream_ownership::BootInstant;

/// The boot clock of one VM: `offset_ns` at true time zero, and `rate_ppm` too fast.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    pub rate_ppm: i64,
    pub offset_ns: u64,
}

impl NodeClock {
    /// What the clock shows at a true time.
    pub fn boot(self, true_ns: u64) -> BootInstant {
        let drift_ns = i128::from(true_ns) * i128::from(self.rate_ppm) / 1_000_000;
        let since_boot_ns = i128::from(self.offset_ns) + i128::from(true_ns) + drift_ns;
        BootInstant::new(u64::try_from(since_boot_ns).expect("the clock is in range"))
    }

    /// The first true time, to within a microsecond, at which the clock shows `boot` or more.
    pub fn true_ns(self, boot: BootInstant) -> u64 {
        let elapsed_ns = i128::from(boot.as_ns()) - i128::from(self.offset_ns);
        let true_ns = elapsed_ns * 1_000_000 / i128::from(1_000_000 + self.rate_ppm);
        let mut true_ns = u64::try_from(true_ns.max(0)).expect("the time is in range");
        while self.boot(true_ns) < boot {
            true_ns += 1;
        }
        true_ns
    }
}
