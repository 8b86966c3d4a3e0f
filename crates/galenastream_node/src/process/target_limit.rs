//! The request limit of the local target, as the traffic thread passes it to the control thread.

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::RequestRate;
use galenastream_utils::BootInstant;

/// The request limit in force that an incarnation of the local target announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLimit {
    /// The incarnation.
    pub target: TargetIncarnation,
    /// The limit.
    pub rate: RequestRate,
    /// When the target was last sent a request or answered one.
    pub last_exchange_at: BootInstant,
}
