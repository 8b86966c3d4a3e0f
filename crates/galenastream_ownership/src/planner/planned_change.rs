//! What the planner wants changed.

use crate::{KeyHash, Member, SliceEpoch};

/// A change that the planner wants made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedChange {
    /// Hand a slice over to another member.
    Move {
        /// The slice.
        id: SliceEpoch,
        /// The new owner.
        to: Member,
    },
    /// Cut a slice so that new slices begin at these positions. The owner stays.
    Split {
        /// The slice.
        id: SliceEpoch,
        /// Where new slices begin, in rising order.
        firsts: Vec<KeyHash>,
    },
    /// Join a slice and the next one, which has the same owner, to a new slice.
    Merge {
        /// The slice.
        id: SliceEpoch,
        /// The slice after it.
        next: SliceEpoch,
    },
}
