//! The `galenastreamd` daemon. One process of it, a node, runs beside each target. The nodes of a
//! deployment share their state through the platform's store.
//!
//! A node accepts the requests of the callers on its VM, and all requests to its local target pass
//! through it. The control thread owns the control state: heartbeats, leases, the view of the store
//! and planning. The traffic thread forwards requests and reads snapshots of the control state.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    CommandLine, ControlEvent, ControlQueue, ControlState, Directory, Effect, EvacuatedPage,
    HeartbeatAnswer, KeyMeter, LeasePage, LocalTarget, OPERATORS_PORT, ProbeAnswer,
    RefusedConfigPage, RequestQuarantine, STATUS_PATH, StatusPage, StoredConfig,
    StoredConfigContent, TargetHealth, TargetPage, TargetProbe, command, decode_suspect,
    encode_suspect, flush_log, maintain_recorder, metrics_recorder,
    metrics_recorder_with_idle_time, run_daemon, start_log,
};

pub use request::{
    EXPLAIN_PATH, ExplainedAdmission, ExplainedCandidate, ExplainedDestination, ExplainedRoute,
    RequestExplanation,
};
pub use version::{ConfigDoubt, PublishedDoubt, RouteMatch, RoutingTable};

/// The items that a program needs to run a node.
pub mod prelude {
    pub use crate::{CommandLine, ControlState, run_daemon, start_log};
}
