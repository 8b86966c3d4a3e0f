//! The time for which a target is cold.

use galenastream_utils::BootInstant;

use crate::RequestRate;

/// The time for which a target is cold and bears few requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPeriod {
    /// The requests that the target bears meanwhile, from all callers together.
    pub limit: RequestRate,
    /// When it ends.
    pub until: BootInstant,
}
