//! The boot clock of the VM.

use galenastream_utils::BootInstant;
use rustix::time::{ClockId, clock_gettime};

const NS_PER_SECOND: u64 = 1_000_000_000;

/// The current instant of the VM's boot clock. The target on the same VM reads the same clock.
pub fn boot_now() -> BootInstant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    BootInstant::new(seconds * NS_PER_SECOND + nanoseconds)
}

/// Sleeps until an instant of the boot clock.
pub async fn sleep_until(instant: BootInstant) {
    tokio::time::sleep(instant.saturating_since(boot_now())).await;
}
