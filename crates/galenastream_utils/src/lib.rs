//! Shared basics of the other packages: instants of the boot clock, and hash collections with a
//! fast hasher.
//!
//! Use [`BootInstant`] wherever instants are compared. Decisions take the current instant as an
//! argument, so that tests can run them in virtual time.

mod boot_instant;
mod collections;

pub use boot_instant::BootInstant;
pub use collections::{FastMap, FastSet};
