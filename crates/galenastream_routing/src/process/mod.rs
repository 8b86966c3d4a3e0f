//! What lives as long as the process.

mod admission;
mod balance;
mod breaker;
mod placement;
mod queue;
mod retry_budget;
mod route_cache;
mod service_time;
mod ticket_ledger;
mod weighted_split;
mod windowed_retry_budget;

pub use admission::*;
pub use balance::*;
pub use breaker::*;
pub use placement::*;
pub use retry_budget::*;
pub use route_cache::*;
pub use service_time::*;
pub use ticket_ledger::*;
pub use weighted_split::*;
pub use windowed_retry_budget::*;
