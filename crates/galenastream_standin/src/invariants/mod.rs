//! Checks the invariants of a run against what callers and targets observed.

mod check;
mod check_crashes;
mod check_limits;
mod violation;

pub use check::check_invariants;
pub use check_crashes::{Disturbance, check_crashes};
pub use violation::Violation;
