//! The boot clock of this machine, which stands for that of every VM.

use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds since the boot (`CLOCK_BOOTTIME`).
pub fn boot_now_ns() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000_000 + nanoseconds
}
