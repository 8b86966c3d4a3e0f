//! The plan of a target.

use std::{net::SocketAddr, time::Duration};

use super::{CrashPlan, TargetConduct};

/// The plan of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPlan {
    /// The id of the target.
    pub id: String,
    /// The service of the target.
    pub service: String,
    /// The address where the target accepts requests.
    pub address: SocketAddr,
    /// The address that heartbeats name; differs from `address` if a proxy is in between.
    pub advertised_address: SocketAddr,
    /// The address where the node beside the target accepts heartbeats.
    pub control: SocketAddr,
    /// The approximate time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// The capacity of the target.
    pub capacity: TargetCapacity,
    /// What the target does that its protocol allows.
    pub conduct: TargetConduct,
    /// How the target crashes under requests that crash their targets.
    pub crash: CrashPlan,
    /// The Unix time in milliseconds that heartbeats state as the start of the target, if any.
    pub started_unix_ms: Option<u64>,
}

/// The capacity of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCapacity {
    /// How many requests the target processes concurrently. It never answers requests above this
    /// limit.
    pub slots: u32,
    /// How long the target processes a request.
    pub service_time: Duration,
}

impl Default for TargetCapacity {
    fn default() -> Self {
        Self { slots: 8, service_time: Duration::ZERO }
    }
}
