//! Settings and config of the simulated nodes.

use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{
    CallerLimits, ConfigVersion, LeaseDelivery, Listeners, NodeSettings, PlatformBounds,
    ProcessLimits, RoutingConfig, ServiceConfig, StoreSettings,
};
use galenastream_node::{ControlEvent, StoredConfig, StoredConfigContent};

/// Interval between the heartbeats of a target.
pub const HEARTBEAT_MS: u64 = 900;

/// All nodes of a deployment start first within this time.
const FIRST_START_MS: u64 = 1_500;

pub fn address(index: usize) -> String {
    format!("10.0.0.{}:80", index + 1)
}

pub fn settings(index: usize) -> NodeSettings {
    let target_address = address(index).parse().expect("an address");
    let any = "10.0.0.99:1".parse().expect("an address");
    let peers = format!("10.0.0.{}:7000", index + 1).parse().expect("an address");
    NodeSettings {
        node_name: format!("vm-{}", address(index)),
        ip: "10.0.0.1".parse().expect("an address"),
        data_centre: "east".to_owned(),
        service: "carts".to_owned(),
        target_address,
        heartbeat_ms: HEARTBEAT_MS,
        listeners: Listeners { callers: any, peers, ready: any, control: any },
        store: StoreSettings { address: any, transaction_duration_ms: 5.0, max_row_bytes: 65_536 },
        bounds: PlatformBounds {
            drain_ms: 2_000,
            stable_ms: 3_000,
            config_apply_ms: 2_000,
            grace_ms: 6_000,
            max_lease_ms: 10_000,
            retry_ratio: 0.2,
            retry_window_ms: Duration::from_secs(10).as_millis() as u64,
            retry_allowance: 60.0,
        },
        limits: ProcessLimits {
            memory_mb: 260,
            max_file_descriptors: 4_100,
            link_mbit_per_s: None,
        },
        is_first_start: true,
        lease_delivery: LeaseDelivery::Heartbeats,
    }
}

/// Settings of a process that starts at `now_ms` since the start of its deployment.
pub fn settings_at_start(settings: NodeSettings, now_ms: u64) -> NodeSettings {
    NodeSettings { is_first_start: now_ms < FIRST_START_MS, ..settings }
}

/// Settings whose longest lease differs.
pub fn settings_with_bound(index: usize, max_lease_ms: u64) -> NodeSettings {
    let settings = settings(index);
    NodeSettings { bounds: PlatformBounds { max_lease_ms, ..settings.bounds }, ..settings }
}

/// An answer of the store that shows a config for the first time.
pub fn config_event(config: RoutingConfig) -> ControlEvent {
    let row_version = config.version.0;
    let content = StoredConfigContent::Valid { config: Box::new(config), encoded: Bytes::new() };
    let stored = Some(StoredConfig { row_version, content });
    ControlEvent::ConfigRead { stored, confirmed_at: None }
}

pub fn config() -> RoutingConfig {
    config_with_delivery(1, &LeaseDelivery::Heartbeats)
}

pub fn config_with_delivery(version: u64, delivery: &LeaseDelivery) -> RoutingConfig {
    RoutingConfig {
        version: ConfigVersion(version),
        routes: Vec::new(),
        services: vec![ServiceConfig {
            name: "carts".to_owned(),
            max_connections: 120,
            holds_keys: true,
            health_path: "/health".to_owned(),
            lease_delivery: Some(delivery.clone()),
            cold_limit_milli_per_s: None,
        }],
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}
