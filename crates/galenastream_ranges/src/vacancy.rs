//! When keys of a silent owner may be passed on.

use galenastream_utils::{BootInstant, FastMap};

use crate::{Assignment, Holding, KeyRange, LeaseTerms, TargetIncarnation};

/// Notes since when keys have been leaving, and tells which of them nobody can hold any more.
///
/// Answers the loss of a whole VM: nobody can say that its target has ended, so its leases have to
/// run out.
#[derive(Debug, Clone, Default)]
pub struct VacancyTracker {
    leaving_since: FastMap<(TargetIncarnation, KeyRange), BootInstant>,
}

impl VacancyTracker {
    /// Creates a watch that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the entries that are leaving in a row that was seen at `now`.
    pub fn observe(&mut self, assignment: &Assignment, now: BootInstant) {
        let mut leaving_since = FastMap::default();
        for entry in assignment.entries() {
            let Holding::Leaving { from, .. } = &entry.holding else {
                continue;
            };
            let name = (from.target.clone(), entry.range);
            let since = self.leaving_since.get(&name).copied().unwrap_or(now);
            leaving_since.insert(name, since);
        }
        self.leaving_since = leaving_since;
    }

    /// The keys on which every lease has run out.
    pub fn vacant_ranges(
        &self,
        terms: &LeaseTerms,
        now: BootInstant,
    ) -> Vec<(TargetIncarnation, KeyRange)> {
        let mut vacant = Vec::new();
        for ((target, range), since) in &self.leaving_since {
            if terms.all_leases_end(*since) > now {
                continue;
            }
            vacant.push((target.clone(), *range));
        }
        vacant
    }
}
