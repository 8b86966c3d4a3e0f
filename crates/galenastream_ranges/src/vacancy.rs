//! Detection of ranges whose owner can no longer hold a lease.

use galenastream_utils::{BootInstant, FastMap};

use crate::{Assignment, KeyRange, LeaseTerms, TargetIncarnation, TermsStatement};

/// Tracks since when keys have been leaving, and finds the vacant ranges: those on which every lease
/// has expired.
///
/// After the loss of a whole VM no node can report that its target has ended, so the keys can move
/// only once the leases have expired. A departure is known by the version that it is based on: keys
/// that came back and leave again, unseen by this process, are leaving in another departure.
#[derive(Debug, Clone, Default)]
pub struct VacancyTracker {
    /// When a row with the departure was first read.
    seen_at: FastMap<u64, BootInstant>,
    /// The statement of limits in the row that leases on earlier rows may exceed, and when a row with
    /// it was first read.
    terms_since: Option<(u64, BootInstant)>,
}

/// A leaving range on which every lease has expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VacantRange {
    /// The keys.
    pub range: KeyRange,
    /// The target that they are leaving.
    pub target: TargetIncarnation,
    /// When this process first read that they are leaving.
    pub seen_at: BootInstant,
}

impl VacancyTracker {
    /// Creates a tracker without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the departures and the statement of limits in a row that was read at `now`, and forgets
    /// all others.
    pub fn observe(&mut self, assignment: &Assignment, now: BootInstant) {
        let mut seen_at = FastMap::default();
        for entry in assignment.entries() {
            let Some(departure) = entry.holding.departure() else {
                continue;
            };
            let since = self.seen_at.get(&departure).copied().unwrap_or(now);
            seen_at.insert(departure, since);
        }
        self.seen_at = seen_at;
        self.terms_since = match (assignment.terms_statement(), self.terms_since) {
            (TermsStatement::Since(version), Some((known, at))) if known == version => {
                Some((version, at))
            }
            (TermsStatement::Since(version), _) => Some((version, now)),
            (TermsStatement::Unrecorded | TermsStatement::AllRows, _) => None,
        };
    }

    /// Returns when a row with a departure was first read, if the last observed row has it.
    pub fn seen_at(&self, departure: u64) -> Option<BootInstant> {
        self.seen_at.get(&departure).copied()
    }

    /// Whether every lease has expired at `now` that was granted on a row before the limits in the
    /// last observed row were stated. `terms` are the limits of such leases.
    pub fn have_leases_before_statement_ended(&self, terms: &LeaseTerms, now: BootInstant) -> bool {
        self.terms_since.is_some_and(|(_, seen_at)| terms.all_leases_end(seen_at) <= now)
    }

    /// Returns the leaving ranges of an assignment on which every lease has expired at `now`.
    pub fn vacant_ranges(
        &self,
        assignment: &Assignment,
        terms: &LeaseTerms,
        now: BootInstant,
    ) -> Vec<VacantRange> {
        let mut vacant = Vec::new();
        for entry in assignment.entries() {
            let seen_at = entry.holding.departure().and_then(|it| self.seen_at.get(&it));
            let (Some(owner), Some(&seen_at)) = (entry.holding.leaving_owner(), seen_at) else {
                continue;
            };
            if terms.all_leases_end(seen_at) > now {
                continue;
            }
            vacant.push(VacantRange { range: entry.range, target: owner.target.clone(), seen_at });
        }
        vacant
    }
}
