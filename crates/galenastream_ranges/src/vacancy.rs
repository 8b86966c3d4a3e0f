//! Detection of ranges whose owner can no longer hold a lease.

use galenastream_utils::{BootInstant, FastMap};

use crate::{Assignment, Holding, KeyRange, LeaseTerms, TargetIncarnation};

/// Tracks since when ranges have been leaving, and finds the vacant ones: those on which every
/// lease has expired.
///
/// After the loss of a whole VM no node can report that its target has ended, so the keys can move
/// only once the leases have expired.
#[derive(Debug, Clone, Default)]
pub struct VacancyTracker {
    leaving_since: FastMap<(TargetIncarnation, KeyRange), BootInstant>,
}

impl VacancyTracker {
    /// Creates a tracker without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records which ranges are leaving in a row that was read at `now`, and forgets all others.
    pub fn observe(&mut self, assignment: &Assignment, now: BootInstant) {
        let mut leaving_since = FastMap::default();
        for entry in assignment.entries() {
            let Holding::Leaving { from, .. } = &entry.holding else {
                continue;
            };
            let leaving = (from.target.clone(), entry.range);
            let since = self.leaving_since.get(&leaving).copied().unwrap_or(now);
            leaving_since.insert(leaving, since);
        }
        self.leaving_since = leaving_since;
    }

    /// Returns the leaving ranges on which every lease has expired at `now`, with their owners and
    /// since when they have been leaving.
    pub fn vacant_ranges(
        &self,
        terms: &LeaseTerms,
        now: BootInstant,
    ) -> Vec<(TargetIncarnation, KeyRange, BootInstant)> {
        let mut vacant = Vec::new();
        for ((target, range), since) in &self.leaving_since {
            if terms.all_leases_end(*since) > now {
                continue;
            }
            vacant.push((target.clone(), *range, *since));
        }
        vacant
    }
}
