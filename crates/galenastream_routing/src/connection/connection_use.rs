//! Which connections are closed to make room for others.
//!
//! Load pattern: clients that keep no limits open more connections than a process has room for, stop in
//! the middle of a request or do not read their answers, and stay. Ordinary clients send a request at
//! once, read its answer, and keep an idle connection for a while.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// What memory is needed for, which says whose connections may be closed for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryNeed {
    /// A short request, or a connection.
    ShortRequest,
    /// A request with a long body.
    LongRequest,
    /// An answer.
    Answer,
}

impl MemoryNeed {
    /// The number of variants.
    pub const COUNT: usize = 3;

    /// The phase of the connections that may be closed.
    const fn phase(self) -> ConnectionPhase {
        match self {
            Self::ShortRequest | Self::LongRequest => ConnectionPhase::Receiving,
            Self::Answer => ConnectionPhase::Sending,
        }
    }

    /// Time without progress after which a connection has stalled. Ordinary clients send a request, and
    /// read its answer, without a pause; their long uploads must not close each other while a VM is slow.
    const fn stall_time(self) -> Duration {
        match self {
            Self::ShortRequest | Self::Answer => Duration::from_millis(1_000),
            Self::LongRequest => Duration::from_secs(5),
        }
    }

    /// How long a request may take to arrive.
    const fn max_arrival_time(self) -> Duration {
        match self {
            Self::ShortRequest | Self::Answer => Duration::from_secs(10),
            Self::LongRequest => Duration::from_secs(60),
        }
    }
}

/// Who connects to a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortClients {
    /// Clients of which each new one may be an ordinary one, whatever others do.
    Any,
    /// Other nodes, which keep a connection and send a message every second. A new connection is more likely
    /// to be of somebody else.
    Nodes,
}

/// Time after which a node has sent a message on its connection, with a margin.
const MESSAGE_TIME: Duration = Duration::from_secs(3);

/// Identifies a connection within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The last answer has been written, and the client has not closed its side yet.
    Closing,
    /// A request arrives, or the first one has not begun.
    Receiving,
    /// The connection waits for the next request.
    Idle,
    /// The client does not read an answer.
    Sending,
    /// A request is in progress.
    Working,
}

/// How a connection uses the room of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Identifies the connection.
    pub key: ConnectionKey,
    /// What happens on it.
    pub phase: ConnectionPhase,
    /// When the phase began.
    pub since: BootInstant,
    /// When bytes moved last in this phase.
    pub progress_at: BootInstant,
    /// The memory that is free once the connection is closed.
    pub held_bytes: usize,
}

impl ConnectionUse {
    fn has_stalled(&self, need: MemoryNeed, now: BootInstant) -> bool {
        let is_overdue = self.phase == ConnectionPhase::Receiving
            && now.saturating_since(self.since) >= need.max_arrival_time();
        is_overdue || now.saturating_since(self.progress_at) >= need.stall_time()
    }

    /// The place of the connection in the order in which connections are closed; `None` if it is kept.
    fn closing_order(&self, clients: PortClients, now: BootInstant) -> Option<(u8, BootInstant)> {
        let is_of_node =
            clients == PortClients::Nodes && now.saturating_since(self.since) < MESSAGE_TIME;
        let has_stalled = self.has_stalled(MemoryNeed::ShortRequest, now);
        let rank = match self.phase {
            ConnectionPhase::Closing => 0,
            ConnectionPhase::Receiving if has_stalled => 0,
            ConnectionPhase::Idle if is_of_node => 5,
            ConnectionPhase::Idle => 1,
            ConnectionPhase::Sending if has_stalled => 2,
            ConnectionPhase::Receiving => 3,
            ConnectionPhase::Sending => 4,
            ConnectionPhase::Working => return None,
        };
        Some((rank, self.since))
    }
}

/// Chooses up to `count` connections to close so that others can be accepted. Those with a request in
/// progress are kept. New ones go last: an ordinary client is about to send its request. Of other nodes, the
/// ones that are in use go last.
pub fn connections_to_close(
    mut uses: Vec<ConnectionUse>,
    count: usize,
    clients: PortClients,
    now: BootInstant,
) -> Vec<ConnectionKey> {
    uses.retain(|it| it.closing_order(clients, now).is_some());
    uses.sort_by_key(|it| it.closing_order(clients, now));
    uses.iter().take(count).map(|it| it.key).collect()
}

/// Chooses connections to close so that at least `bytes` of memory become free: those that have stalled,
/// the oldest first. Chooses none if they do not hold as much.
pub fn connections_to_free(
    mut uses: Vec<ConnectionUse>,
    need: MemoryNeed,
    bytes: usize,
    now: BootInstant,
) -> Vec<ConnectionKey> {
    uses.retain(|it| it.phase == need.phase() && it.held_bytes > 0 && it.has_stalled(need, now));
    uses.sort_by_key(|it| it.since);
    let mut chosen = Vec::new();
    let mut freed_bytes: usize = 0;
    for connection in uses {
        if freed_bytes >= bytes {
            break;
        }
        freed_bytes = freed_bytes.saturating_add(connection.held_bytes);
        chosen.push(connection.key);
    }
    if freed_bytes < bytes {
        chosen.clear();
    }
    chosen
}
