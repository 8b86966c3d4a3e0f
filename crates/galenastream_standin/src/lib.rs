//! Small stand-ins of the platform's store, of targets and of callers, a proxy that injects
//! faults, a load generator, scenarios that run them with real nodes, and hostile input for the
//! decoders. For tests and experiments only.
//!
//! Use [`LocalDeployment`] to start a store, targets and nodes on loopback, [`run_load`] to
//! generate load, and [`run_scenario`] to run a whole scenario and check the invariants.

mod caller;
mod deployment;
mod fuzz;
mod invariants;
mod link;
mod load;
mod platform_document;
mod platform_target;
mod row_store;
mod scenario;
mod server;

pub use caller::*;
pub use deployment::*;
pub use fuzz::*;
pub use invariants::*;
pub use link::*;
pub use load::*;
pub use platform_document::*;
pub use platform_target::*;
pub use row_store::*;
pub use scenario::*;
pub use server::*;
