//! State that lives as long as the process.

mod admission;
mod admission_limits;
mod admission_outcome;
mod announced_limit;
mod class_service_times;
mod crash_id;
mod crash_record;
mod limit_trials;
mod lost_run;
mod quarantine;
mod queue;
mod rate_limiter;
mod recent_answers;
mod service_time;
mod suspect;
mod suspicion;
mod target_selector;
mod usual_waits;
mod weighted_split;
mod windowed_retry_budget;

pub use admission::*;
pub use admission_limits::*;
pub use admission_outcome::*;
pub use announced_limit::*;
pub use crash_id::*;
pub use crash_record::*;
pub use limit_trials::*;
pub use lost_run::*;
pub use quarantine::*;
pub use service_time::*;
pub use suspect::*;
pub use suspicion::*;
pub use target_selector::*;
pub use usual_waits::*;
pub use weighted_split::*;
pub use windowed_retry_budget::*;
