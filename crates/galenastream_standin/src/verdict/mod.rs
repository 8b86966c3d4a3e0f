//! Judges the logs of all targets of a run.

mod breach;
mod judge;

pub use breach::*;
pub use judge::*;
