//! Stand-in of the platform: table service and object store in memory, with faults on demand.

mod faults;
mod object_service;
mod platform_standin;
mod service;
mod table;
mod table_service;

pub use faults::*;
pub use platform_standin::*;
