//! The load tool: open loop, from the intended start of each request.

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
