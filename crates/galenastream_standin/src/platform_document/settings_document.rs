//! A settings file as the platform writes it.

use std::net::{IpAddr, SocketAddr};

/// What a settings file says of a VM.
#[derive(Debug, Clone, Copy)]
pub struct SettingsFields<'a> {
    /// The VM's name.
    pub node: &'a str,
    /// The VM's address.
    pub ip: IpAddr,
    /// The service of the target beside the node.
    pub service: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// About how often the target sends a heartbeat.
    pub heartbeat_ms: u64,
    /// The store.
    pub store: SocketAddr,
}

/// A settings file. The target listens at port 8001, the node at 8002 for other nodes, 8003 for
/// callers, 8004 for health checks and 8005 for the target.
pub fn settings_document(fields: SettingsFields<'_>) -> String {
    let SettingsFields { node, ip, service, data_centre, heartbeat_ms, store } = fields;
    format!(
        r#"
node = "{node}"
ip = "{ip}"
zone = "{data_centre}"
heartbeatMs = {heartbeat_ms}
bounds = ["drainMs=2000", "graceS=6", "maxHoldMs=10000"]
appAddr = "{ip}:8001"
service = "{service}"
[listen]
inbound = "{ip}:8002"
outbound = "{ip}:8003"
ready = "{ip}:8004"
control = "{ip}:8005"
[limits]
memoryMb = 260
maxFds = 4100
[platform]
address = "{store}"
"#
    )
}
