//! Exclusive ownership of key ranges, decided by conditional writes of one row a service.
//!
//! An [`Assignment`] names the owner of every key. A node grants its target a lease only on keys
//! that the newest row gives to that target, and only for as long as [`LeaseTerms`] allow after the
//! row was last confirmed to be current. A change of owner is first written as a [`Holding::Leaving`]
//! entry, and completed when the old owner provably holds the keys no longer: it released them, it
//! ended, or every lease that an older row allowed has run out.
//!
//! Use it wherever a table with conditional writes is at hand and targets enforce their leases.
//! Everything here is sans-IO: time comes in as [`BootInstant`](galenastream_utils::BootInstant).

mod assignment;
mod error;
mod key_range;
mod lease_terms;
mod owner;
mod planner;
mod row;
mod vacancy;

pub use assignment::{Assignment, Holding, RangeEntry};
pub use error::RowError;
pub use key_range::{KEY_COUNT, KeyRange};
pub use lease_terms::LeaseTerms;
pub use owner::{Owner, TargetIncarnation};
pub use planner::{KeyLoad, PlannedMove, Planner, PlannerSettings, TargetLoad};
pub use vacancy::VacancyTracker;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Assignment, Holding, KeyRange, LeaseTerms, Owner, Planner, TargetIncarnation,
        VacancyTracker,
    };
}
