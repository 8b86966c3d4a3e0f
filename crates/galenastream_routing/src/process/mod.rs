//! State that lives as long as the process.

mod admission;
mod announced_limit;
mod queue;
mod service_time;
mod target_selector;
mod weighted_split;
mod windowed_retry_budget;

pub use admission::*;
pub use announced_limit::*;
pub use service_time::*;
pub use target_selector::*;
pub use weighted_split::*;
pub use windowed_retry_budget::*;
