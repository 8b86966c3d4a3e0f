//! An open-loop load generator. Requests start at their intended times, even while earlier ones are
//! in flight, and latencies count from these times, so that no coordinated omission distorts them.

mod arrivals;
mod chart;
mod key_picker;
mod load_caller;
mod outcome;
mod plan;
mod run;
mod summary;
mod table;

pub use arrivals::*;
pub use chart::*;
pub use key_picker::*;
pub use outcome::*;
pub use plan::*;
pub use run::*;
pub use summary::*;
