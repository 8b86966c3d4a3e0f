//! State that lives as long as the process.

mod admission;
mod admission_limits;
mod admission_outcome;
mod announced_limit;
mod class_service_times;
mod limit_trials;
mod queue;
mod rate_limiter;
mod service_time;
mod target_selector;
mod usual_waits;
mod weighted_split;
mod windowed_retry_budget;

pub use admission::*;
pub use admission_limits::*;
pub use admission_outcome::*;
pub use announced_limit::*;
pub use limit_trials::*;
pub use service_time::*;
pub use target_selector::*;
pub use usual_waits::*;
pub use weighted_split::*;
pub use windowed_retry_budget::*;
