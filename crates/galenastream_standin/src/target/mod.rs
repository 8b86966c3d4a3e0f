//! Stand-in of a target: slots, cold start, shedding, grants, cancellation, deadlines, and faults.

mod announcer;
mod boot_clock;
mod config;
mod event;
mod faults;
mod grants;
mod load;
mod order;
mod order_run;
mod service;
mod state;
mod target_standin;

pub use boot_clock::*;
pub use config::*;
pub use event::*;
pub use faults::*;
pub use target_standin::*;
