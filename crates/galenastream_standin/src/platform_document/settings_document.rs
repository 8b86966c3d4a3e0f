//! The settings file of a VM, as the platform writes it.

use std::net::{IpAddr, SocketAddr};

/// The memory that a node may use, in megabytes.
pub const MEMORY_LIMIT_MB: u64 = 260;

/// The file descriptors that a node may open.
pub const MAX_FILE_DESCRIPTORS: u64 = 4_100;

/// The resource limits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The memory that it may use, in megabytes.
    pub memory_mb: u64,
    /// The file descriptors that it may open.
    pub max_file_descriptors: u64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { memory_mb: MEMORY_LIMIT_MB, max_file_descriptors: MAX_FILE_DESCRIPTORS }
    }
}

/// The fields of a settings file.
#[derive(Debug, Clone, Copy)]
pub struct SettingsFields<'a> {
    /// The name of the node and of its VM.
    pub node: &'a str,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// The service of the target beside the node.
    pub service: &'a str,
    /// The data centre of the VM.
    pub data_centre: &'a str,
    /// The approximate time between two heartbeats of the target.
    pub heartbeat_ms: u64,
    /// The address of the store.
    pub store: SocketAddr,
    /// Whether the target is granted its keys by calls.
    pub takes_calls: bool,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// The resource limits of the node.
    pub limits: ResourceLimits,
}

/// Returns a settings file in TOML. The target listens at port 8001, the node at 8002 for other
/// nodes, at 8003 for callers, at 8004 for health checks and at 8005 for the target.
pub fn settings_document(fields: SettingsFields<'_>) -> String {
    let SettingsFields {
        node,
        ip,
        service,
        data_centre,
        heartbeat_ms,
        store,
        takes_calls,
        is_first_start,
        limits,
    } = fields;
    let ResourceLimits { memory_mb, max_file_descriptors } = limits;
    let grants = if takes_calls { "call" } else { "heartbeat" };
    format!(
        r#"
node = "{node}"
ip = "{ip}"
zone = "{data_centre}"
heartbeatMs = {heartbeat_ms}
bounds = ["drainMs=2000", "graceS=6", "maxHoldMs=10000"]
appAddr = "{ip}:8001"
service = "{service}"
bootstrap = {is_first_start}
grants = "{grants}"
[listen]
inbound = "{ip}:8002"
outbound = "{ip}:8003"
ready = "{ip}:8004"
control = "{ip}:8005"
[limits]
memoryMb = {memory_mb}
maxFds = {max_file_descriptors}
[platform]
address = "{store}"
"#
    )
}
