//! What a target is started with.

use std::net::{Ipv4Addr, SocketAddr};

use galenastream_ownership::FastMap;

/// What a target is started with.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    /// The name in answers and in the log.
    pub name: String,
    /// The service.
    pub service: String,
    /// Where it listens; port zero for any.
    pub address: SocketAddr,
    /// The admin address of the node in the same VM; `None` to run without a node.
    pub node: Option<SocketAddr>,
    /// How many orders it works on at the same time.
    pub slots: u32,
    /// How many connections it says it accepts.
    pub connections: u32,
    /// How many orders may wait for a slot before it sheds.
    pub backlog: u32,
    /// How long an order takes.
    pub service_ms: f64,
    /// How long an order of a class takes, if other than `service_ms`.
    pub class_service_ms: FastMap<String, f64>,
    /// How long it is cold after its start. A cold target takes up to three times as long.
    pub cold_start_ms: u64,
    /// Whether it checks grants.
    pub checks_grants: bool,
    /// How old the figures of its load endpoint are.
    pub load_lag_ms: u64,
    /// Where its events go.
    pub events: EventOutput,
}

/// Where a target's events go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOutput {
    /// To the standard output, one JSON line each.
    Stdout,
    /// Kept in memory, for [`TargetStandin::events`](crate::TargetStandin::events).
    Memory,
    /// Nowhere.
    None,
}

impl TargetConfig {
    /// Creates the configuration of a target that listens on any port of loopback.
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            node: None,
            slots: 20,
            connections: 120,
            backlog: 20,
            service_ms: 1.0,
            class_service_ms: FastMap::default(),
            cold_start_ms: 0,
            checks_grants: false,
            load_lag_ms: 0,
            events: EventOutput::Memory,
        }
    }

    /// Sets how many orders it works on at the same time, and how many may wait.
    pub fn with_slots(self, slots: u32, backlog: u32) -> Self {
        Self { slots, backlog, ..self }
    }

    /// Sets how long an order takes.
    pub fn with_service_ms(self, service_ms: f64) -> Self {
        Self { service_ms, ..self }
    }

    /// Sets whether it checks grants.
    pub fn with_checks_grants(self, checks_grants: bool) -> Self {
        Self { checks_grants, ..self }
    }

    /// Sets the node that it announces itself to.
    pub fn with_node(self, node: SocketAddr) -> Self {
        Self { node: Some(node), ..self }
    }

    /// How long an order of a class takes on a warm target.
    pub(crate) fn service_ms_of(&self, class: &str) -> f64 {
        self.class_service_ms.get(class).copied().unwrap_or(self.service_ms)
    }
}
