//! Departures in assignments: the calls whose form depends on how a departure is identified.

use galenastream_ranges::{
    Assignment, Holding, KeyRange, LeaseTerms, Owner, TargetIncarnation, VacancyTracker,
};
use galenastream_utils::BootInstant;

/// Starts to move the key, in a change that is based on the row with this version.
pub fn begin(assignment: &mut Assignment, to: Option<&Owner>, row_version: u64) {
    assignment.begin_move(KeyRange::ALL, to, row_version);
}

/// Drops the departure from an assignment, as programs of earlier versions do.
pub fn drop_from(assignment: &mut Assignment) {
    let holding = assignment.entry_of(0).holding.clone();
    if let Some((from, to, _)) = leaving(&holding) {
        assignment.cancel_moves(&from.target);
        begin(assignment, to, 0);
    }
}

/// Returns the leaving owner, the next owner and the number of the departure.
pub fn leaving(holding: &Holding) -> Option<(&Owner, Option<&Owner>, u64)> {
    match holding {
        Holding::Leaving { from, to, departure } => Some((from, to.as_ref(), *departure)),
        Holding::Free | Holding::Owned(_) => None,
    }
}

/// Returns the target that the key is leaving and since when, if every lease on it has expired.
pub fn vacant(
    tracker: &VacancyTracker,
    assignment: &Assignment,
    terms: &LeaseTerms,
    now: BootInstant,
) -> Option<(TargetIncarnation, BootInstant)> {
    let vacant = tracker.vacant_ranges(assignment, terms, now).into_iter().next();
    vacant.map(|it| (it.target, it.seen_at))
}
