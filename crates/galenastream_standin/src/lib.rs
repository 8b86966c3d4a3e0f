//! Small stand-ins of the platform and of a target, a load tool, and days that put them together
//! with real nodes. For tests, trials and experiments only.
//!
//! Use [`LocalDeployment`] to start a store, targets and nodes on loopback, [`run_load`] to make
//! load, and [`run_scenario`] to play a whole day and have it judged.

mod caller;
mod deployment;
mod invariants;
mod load;
mod platform_document;
mod platform_target;
mod row_store;
mod scenario;
mod server;

pub use caller::*;
pub use deployment::*;
pub use invariants::*;
pub use load::*;
pub use platform_document::*;
pub use platform_target::*;
pub use row_store::*;
pub use scenario::*;
pub use server::*;
