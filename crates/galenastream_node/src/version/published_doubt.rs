//! The doubt about the config in force, as the control thread publishes it.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::ConfigDoubt;

/// How long the control thread may go without renewing what it has published, ten of its ticks. After
/// that, the confirmation may have become too old meanwhile, as in a process that was suspended.
const MAX_PUBLISHED_AGE: Duration = Duration::from_millis(1_000);

/// A doubt about the config in force, or its absence, at an instant.
#[derive(Debug, Clone, Copy)]
pub struct PublishedDoubt {
    /// The doubt at that instant.
    pub doubt: Option<ConfigDoubt>,
    /// When the control thread last judged the config.
    pub judged_at: BootInstant,
}

impl PublishedDoubt {
    /// Returns the doubt that holds at a later instant.
    pub fn at(self, now: BootInstant) -> Option<ConfigDoubt> {
        let is_outdated = now.saturating_since(self.judged_at) > MAX_PUBLISHED_AGE;
        self.doubt.or(is_outdated.then_some(ConfigDoubt::StoreUnreachable))
    }
}
