//! What lives as long as the process.

mod admission;
mod placement;
mod queue;
mod service_time;
mod weighted_split;
mod windowed_retry_budget;

pub use admission::*;
pub use placement::*;
pub use service_time::*;
pub use weighted_split::*;
pub use windowed_retry_budget::*;
