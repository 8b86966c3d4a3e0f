//! Estimation of the delay of messages between two nodes.
//!
//! Load pattern: a node is short of processor time, or its link is full, and reads requests seconds
//! after they were sent. Messages carry the time that is left instead of a deadline, since nodes
//! share no clock. Without an estimate of the delay, such a node would run requests whose callers
//! have long given up, and stay behind.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// Length of the windows over which the lowest delay is taken. Long enough for a few messages, and
/// short enough that the clocks of two VMs hardly drift apart.
const WINDOW: Duration = Duration::from_secs(5);

/// Estimates by how much a message was delayed more than others of the same connection.
///
/// The boot clocks of two VMs differ by an unknown offset, so only differences count: the delay of a
/// message is the excess over the fastest one in the current and the previous window.
#[derive(Debug, Clone, Default)]
pub struct TransitDelay {
    window_began_at: BootInstant,
    lowest_ns: Option<i64>,
    previous_lowest_ns: Option<i64>,
}

impl TransitDelay {
    /// Creates the estimate of a new connection. The first message counts as not delayed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a message and returns its delay. `sent_at_ns` is the boot clock of the sender.
    pub fn record(&mut self, sent_at_ns: u64, received_at: BootInstant) -> Duration {
        if received_at.saturating_since(self.window_began_at) >= WINDOW {
            self.window_began_at = received_at;
            self.previous_lowest_ns = self.lowest_ns.take();
        }
        let transit_ns = received_at.as_ns().wrapping_sub(sent_at_ns).cast_signed();
        let lowest_ns = self.lowest_ns.map_or(transit_ns, |it| it.min(transit_ns));
        self.lowest_ns = Some(lowest_ns);
        let base_ns = self.previous_lowest_ns.map_or(lowest_ns, |it| it.min(lowest_ns));
        Duration::from_nanos(u64::try_from(transit_ns.saturating_sub(base_ns)).unwrap_or(0))
    }
}
