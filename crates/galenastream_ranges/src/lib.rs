//! Exclusive ownership of key ranges, decided by conditional writes to one row per service.
//!
//! An [`Assignment`] names the owner of every key. A node grants its target a lease only on keys
//! that the newest row assigns to that target, and only for as long as [`LeaseTerms`] allow after
//! the row was last confirmed to be current. A change of owner is first written as a
//! [`Holding::Leaving`] entry, and completed when the old owner provably holds no lease on the
//! keys: it released them, it ended, or every lease granted on an older row has expired.
//!
//! The crate needs a table with conditional writes and targets that enforce their leases. It is
//! sans-IO: the time is passed in as [`BootInstant`](galenastream_utils::BootInstant).

mod assignment;
mod calls;
mod error;
mod key_range;
mod lease_terms;
mod owner;
mod planner;
mod row;
mod terms_statement;
mod vacancy;

pub use assignment::{Assignment, Holding, RangeEntry};
pub use calls::{CallId, CallLeases, CallOutcome, EndProof, EndedPart, LeaseOrder, PlannedCall};
pub use error::RowError;
pub use key_range::{KEY_COUNT, KeyRange};
pub use lease_terms::LeaseTerms;
pub use owner::{Owner, TargetIncarnation};
pub use planner::{KeyLoad, PlannedMove, Planner, PlannerSettings, TargetLoad};
pub use terms_statement::TermsStatement;
pub use vacancy::{VacancyTracker, VacantRange};

/// The types that most programs use.
pub mod prelude {
    pub use crate::{
        Assignment, Holding, KeyRange, LeaseTerms, Owner, Planner, TargetIncarnation,
        VacancyTracker,
    };
}
