//! The daemon beside each target of a deployment that keeps its shared state in the platform's
//! store.
//!
//! Every node takes requests of the callers on its VM and is the only path into the target beside
//! it. One thread keeps the control state: heartbeats, leases, the store, the plan. Another one
//! carries traffic and reads snapshots of it.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    CommandLine, ControlEvent, ControlState, Directory, Effect, HeartbeatAnswer, KeyMeter,
    LeasePage, LocalTarget, OPERATORS_PORT, STATUS_PATH, StatusPage, TargetPage, command,
    run_daemon, start_log,
};

pub use version::{RouteMatch, RoutingTable};

/// The types that most programs need.
pub mod prelude {
    pub use crate::{CommandLine, ControlState, run_daemon, start_log};
}
