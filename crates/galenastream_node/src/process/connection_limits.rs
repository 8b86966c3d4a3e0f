//! How many connections a process accepts.

use galenastream_adapter::ProcessLimits;

/// Descriptors that the platform keeps for files; sockets share the rest.
const FILE_DESCRIPTORS: u64 = 200;

/// Share of the sockets for callers, in percent. The process itself needs those that are left for its
/// target, the store and other nodes.
const CALLERS_PERCENT: u64 = 72;

/// Share of the sockets for connections from other nodes, in percent.
const PEERS_PERCENT: u64 = 20;

/// The maximum numbers of connections at the ports for health checks, for heartbeats and for operators.
/// Each has one client that opens a few.
const HEALTH_CONNECTIONS: usize = 32;
const CONTROL_CONNECTIONS: usize = 32;
const OPERATOR_CONNECTIONS: usize = 16;

/// Share of the memory limit of the process for connections of callers, in percent, and what each of them
/// takes without its requests: buffers, the task, and the queues of the kernel.
const CALLERS_MEMORY_PERCENT: u64 = 35;
const CALLER_CONNECTION_BYTES: u64 = 32 * 1024;

/// The maximum numbers of connections at the ports of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of callers.
    pub callers: usize,
    /// Of other nodes.
    pub peers: usize,
    /// Of health checks.
    pub health: usize,
    /// Of targets that send heartbeats.
    pub control: usize,
    /// Of operators.
    pub operators: usize,
}

impl ConnectionLimits {
    /// The maximum numbers for a process with these limits.
    pub fn new(limits: ProcessLimits) -> Self {
        let sockets = limits.max_file_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let share = |percent: u64| sockets * percent / 100;
        let memory_bytes = limits.memory_mb.saturating_mul(1_024 * 1_024);
        let of_memory = memory_bytes / 100 * CALLERS_MEMORY_PERCENT / CALLER_CONNECTION_BYTES;
        let count = |it: u64| usize::try_from(it).unwrap_or(usize::MAX);
        Self {
            callers: count(share(CALLERS_PERCENT).min(of_memory)),
            peers: count(share(PEERS_PERCENT)),
            health: HEALTH_CONNECTIONS,
            control: CONTROL_CONNECTIONS,
            operators: OPERATOR_CONNECTIONS,
        }
    }
}
