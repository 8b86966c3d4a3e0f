//! Departures in assignments: the calls whose form depends on how a departure is identified.

use galenastream_ranges::{Assignment, Holding, KeyRange, Owner};

/// Starts to move the key, in a change that is based on the row with this version.
pub fn begin(assignment: &mut Assignment, to: Option<&Owner>, _row_version: u64) {
    assignment.begin_move(KeyRange::ALL, to);
}

/// Returns the leaving owner, the next owner and the number of the departure.
pub fn leaving(holding: &Holding) -> Option<(&Owner, Option<&Owner>, u64)> {
    match holding {
        Holding::Leaving { from, to } => Some((from, to.as_ref(), 0)),
        Holding::Free | Holding::Owned(_) => None,
    }
}
