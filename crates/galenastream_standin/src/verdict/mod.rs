//! Judges a run by what callers and targets saw.

mod breach;
mod judge;

pub use breach::Breach;
pub use judge::judge;
