//! Judges a run by what callers and targets saw.

mod check;
mod violation;

pub use check::check_invariants;
pub use violation::Violation;
