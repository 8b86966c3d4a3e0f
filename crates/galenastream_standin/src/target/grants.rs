//! The check of grants.

use std::sync::{Mutex, PoisonError};

use galenastream_ownership::FastMap;

/// The highest epoch seen of each slice.
#[derive(Debug, Default)]
pub(crate) struct GrantCheck {
    highest: Mutex<FastMap<u32, u64>>,
}

impl GrantCheck {
    /// Whether an epoch is the highest seen of its slice. Remembers it if so.
    pub(crate) fn accepts(&self, slice: u32, epoch: u64) -> bool {
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = highest.entry(slice).or_insert(epoch);
        if epoch < *known {
            return false;
        }
        *known = epoch;
        true
    }
}
