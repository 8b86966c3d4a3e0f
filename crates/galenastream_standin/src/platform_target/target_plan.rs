//! What a target is and what it can do.

use std::{net::SocketAddr, time::Duration};

/// What a target is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPlan {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where the node beside it takes heartbeats.
    pub control: SocketAddr,
    /// About how often it sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// What it can do at once.
    pub capacity: TargetCapacity,
}

/// What a target can do at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCapacity {
    /// Requests that it works on at once. It never answers what exceeds them.
    pub slots: u32,
    /// How long it works on a request.
    pub service_time: Duration,
}

impl Default for TargetCapacity {
    fn default() -> Self {
        Self { slots: 8, service_time: Duration::ZERO }
    }
}
