//! The boot clock of a simulated VM.

use galenastream_utils::BootInstant;

/// A clock that starts at a value of its own and runs at nearly the rate of the virtual time.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeClock {
    /// Its value at the start of the virtual time.
    pub offset_ms: u64,
    /// By how many hundredths of a percent it runs fast.
    pub drift_per_10_000: i64,
}

impl NodeClock {
    /// The value of the clock at an instant of the virtual time.
    pub fn at(&self, ms: u64) -> BootInstant {
        let elapsed_ns = ms * 100 * (10_000 + self.drift_per_10_000).unsigned_abs();
        BootInstant::new(self.offset_ms * 1_000_000 + elapsed_ns)
    }
}
