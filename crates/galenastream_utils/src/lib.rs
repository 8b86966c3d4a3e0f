//! What every other package stands on: instants of the boot clock, and hash collections with a fast
//! hasher.
//!
//! Use [`BootInstant`] wherever time is compared. Decisions take it as an argument, so that tests
//! run them under virtual time.

mod boot_instant;
mod collections;

pub use boot_instant::BootInstant;
pub use collections::{FastMap, FastSet};
