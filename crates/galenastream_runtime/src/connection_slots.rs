//! The connections that a process has room for.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use galenastream_routing::{
    ConnectionKey, ConnectionPhase, ConnectionUse, MemoryNeed, PortClients, connections_to_close,
    connections_to_free,
};
use galenastream_utils::{BootInstant, FastMap};
use metrics::counter;
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::boot_now;

/// One of this many connections is closed at once when there is no room, so that the choice takes little
/// time for each.
const CLOSED_SHARE: usize = 64;

/// How long to wait for room before connections are chosen again: others may have stalled.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long nothing is looked for after a search for memory that found none, so that requests that are refused
/// take little time each.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The connections to a port of a process, up to a maximum. If there are too many, those that an ordinary
/// client does not need are closed.
#[derive(Debug)]
pub struct ConnectionSlots {
    /// The name of the port in logs and metrics.
    port: &'static str,
    clients: PortClients,
    max_open: usize,
    next_key: AtomicU64,
    open: Mutex<FastMap<ConnectionKey, Arc<ConnectionState>>>,
    /// Notified when a connection is closed.
    closed: Notify,
    logged_at: Mutex<BootInstant>,
    /// When a search for memory found none, for each need.
    searched_at_ns: [AtomicU64; MemoryNeed::COUNT],
}

/// What happens on a connection, as its tasks record it.
#[derive(Debug, Default)]
pub struct ConnectionState {
    opened_at_ns: u64,
    /// The requests that are not answered yet.
    requests: AtomicU32,
    has_answered: AtomicBool,
    is_closing: AtomicBool,
    /// The memory of the request that arrives, and of the answer that is not read.
    arriving_bytes: AtomicUsize,
    unread_bytes: AtomicUsize,
    /// Since when a request arrives, an answer is sent, or the connection is idle or closing; 0 if it does
    /// not.
    receiving_since_ns: AtomicU64,
    sending_since_ns: AtomicU64,
    idle_since_ns: AtomicU64,
    progress_at_ns: AtomicU64,
    evicted: CancellationToken,
}

/// A request in progress on a connection, until it is dropped.
#[derive(Debug)]
pub struct RequestInProgress {
    state: Arc<ConnectionState>,
}

/// A connection that counts until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    key: ConnectionKey,
    slots: Arc<ConnectionSlots>,
    state: Arc<ConnectionState>,
}

impl ConnectionSlots {
    /// Creates the slots of a port.
    pub fn new(port: &'static str, clients: PortClients, max_open: usize) -> Arc<Self> {
        Arc::new(Self {
            port,
            clients,
            max_open: max_open.max(1),
            next_key: AtomicU64::new(0),
            open: Mutex::default(),
            closed: Notify::new(),
            logged_at: Mutex::default(),
            searched_at_ns: Default::default(),
        })
    }

    /// Waits until there is room for a connection, and closes others if there is none.
    pub async fn admit(self: &Arc<Self>) -> ConnectionSlot {
        loop {
            // Before the check, so that no close is missed.
            let closed = self.closed.notified();
            if let Some(slot) = self.try_admit() {
                return slot;
            }
            // Nothing depends on which of the two it was.
            let _ = timeout(RETRY_INTERVAL, closed).await;
        }
    }

    fn try_admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut open = self.lock();
        if open.len() < self.max_open {
            let key = ConnectionKey(self.next_key.fetch_add(1, Ordering::Relaxed));
            let state = Arc::new(ConnectionState::new(boot_now()));
            open.insert(key, state.clone());
            return Some(ConnectionSlot { key, slots: self.clone(), state });
        }
        if open.values().all(|it| !it.evicted.is_cancelled()) {
            let count = (self.max_open / CLOSED_SHARE).max(1);
            let now = boot_now();
            let chosen = connections_to_close(uses_of(&open), count, self.clients, now);
            self.evict(&open, &chosen, now);
        }
        None
    }

    /// Closes connections that have stalled and together hold at least `bytes`. Returns whether there were
    /// any.
    pub fn free_memory(&self, need: MemoryNeed, bytes: usize) -> bool {
        let now = boot_now();
        let searched_at_ns = &self.searched_at_ns[need as usize];
        let searched_at = BootInstant::new(searched_at_ns.load(Ordering::Relaxed));
        if now.saturating_since(searched_at) < SEARCH_INTERVAL {
            return false;
        }
        let open = self.lock();
        let chosen = connections_to_free(uses_of(&open), need, bytes, now);
        if chosen.is_empty() {
            searched_at_ns.store(now.as_ns(), Ordering::Relaxed);
        }
        self.evict(&open, &chosen, now);
        !chosen.is_empty()
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.lock().len()
    }

    fn evict(
        &self,
        open: &FastMap<ConnectionKey, Arc<ConnectionState>>,
        chosen: &[ConnectionKey],
        now: BootInstant,
    ) {
        if chosen.is_empty() {
            return;
        }
        for key in chosen {
            if let Some(state) = open.get(key) {
                state.evicted.cancel();
            }
        }
        let count = u64::try_from(chosen.len()).unwrap_or(u64::MAX);
        counter!("galenastream_connections_evicted_total", "port" => self.port).increment(count);
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_since(*logged_at) >= LOG_INTERVAL {
            *logged_at = now;
            log::warn!(event = "connections_evicted", port = self.port, count, open = open.len(); "");
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ConnectionKey, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How the connections use their room, but for those that are about to be closed.
fn uses_of(open: &FastMap<ConnectionKey, Arc<ConnectionState>>) -> Vec<ConnectionUse> {
    let staying = open.iter().filter(|(_, state)| !state.evicted.is_cancelled());
    staying.map(|(key, state)| state.to_use(*key)).collect()
}

impl ConnectionState {
    fn new(now: BootInstant) -> Self {
        Self { opened_at_ns: now.as_ns(), ..Self::default() }
    }

    /// Records that a part of a request has arrived, for which the connection holds this much memory.
    pub fn record_part(&self, held_bytes: usize) {
        let now_ns = boot_now().as_ns();
        if self.receiving_since_ns.load(Ordering::Relaxed) == 0 {
            self.receiving_since_ns.store(now_ns, Ordering::Relaxed);
        }
        self.progress_at_ns.store(now_ns, Ordering::Relaxed);
        self.arriving_bytes.store(held_bytes, Ordering::Relaxed);
    }

    /// Records that a whole request has arrived.
    pub fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.receiving_since_ns.store(0, Ordering::Relaxed);
        self.arriving_bytes.store(0, Ordering::Relaxed);
    }

    /// Records that a request has been answered, and its answer written.
    pub fn record_answer(&self) {
        self.has_answered.store(true, Ordering::Relaxed);
        if self.requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.idle_since_ns.store(boot_now().as_ns(), Ordering::Relaxed);
        }
    }

    /// Records a request, which counts as in progress until the returned value is dropped.
    pub fn request(self: &Arc<Self>) -> RequestInProgress {
        self.record_request();
        RequestInProgress { state: self.clone() }
    }

    /// Records that a whole message has arrived.
    pub fn record_message(&self) {
        self.has_answered.store(true, Ordering::Relaxed);
        self.receiving_since_ns.store(0, Ordering::Relaxed);
        self.arriving_bytes.store(0, Ordering::Relaxed);
        self.idle_since_ns.store(boot_now().as_ns(), Ordering::Relaxed);
    }

    /// Records that the client does not read an answer of this size.
    pub fn record_unread(&self, held_bytes: usize) {
        let now_ns = boot_now().as_ns();
        self.sending_since_ns.store(now_ns, Ordering::Relaxed);
        self.progress_at_ns.store(now_ns, Ordering::Relaxed);
        self.unread_bytes.store(held_bytes, Ordering::Relaxed);
    }

    /// Records that the client reads an answer.
    pub fn record_progress(&self) {
        self.progress_at_ns.store(boot_now().as_ns(), Ordering::Relaxed);
    }

    /// Records that the client has read an answer.
    pub fn record_read(&self) {
        self.sending_since_ns.store(0, Ordering::Relaxed);
        self.unread_bytes.store(0, Ordering::Relaxed);
    }

    /// Whether the client does not read an answer.
    pub fn has_unread_answer(&self) -> bool {
        self.sending_since_ns.load(Ordering::Relaxed) > 0
    }

    /// Records that nothing more is served on the connection.
    pub fn record_closing(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.idle_since_ns.store(boot_now().as_ns(), Ordering::Relaxed);
    }

    fn to_use(&self, key: ConnectionKey) -> ConnectionUse {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        let (receiving_since, sending_since) =
            (load(&self.receiving_since_ns), load(&self.sending_since_ns));
        let (phase, since_ns) = if self.is_closing.load(Ordering::Relaxed) {
            (ConnectionPhase::Closing, load(&self.idle_since_ns))
        } else if sending_since > 0 {
            (ConnectionPhase::Sending, sending_since)
        } else if self.requests.load(Ordering::Relaxed) > 0 {
            (ConnectionPhase::Working, load(&self.progress_at_ns))
        } else if receiving_since > 0 {
            (ConnectionPhase::Receiving, receiving_since)
        } else if self.has_answered.load(Ordering::Relaxed) {
            (ConnectionPhase::Idle, load(&self.idle_since_ns))
        } else {
            (ConnectionPhase::Receiving, self.opened_at_ns)
        };
        let progress_at_ns = load(&self.progress_at_ns).max(self.opened_at_ns);
        let held_bytes = match phase {
            ConnectionPhase::Sending => &self.unread_bytes,
            _ => &self.arriving_bytes,
        };
        ConnectionUse {
            key,
            phase,
            since: BootInstant::new(since_ns),
            progress_at: BootInstant::new(progress_at_ns),
            held_bytes: held_bytes.load(Ordering::Relaxed),
        }
    }
}

impl ConnectionSlot {
    /// What happens on the connection.
    pub fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    /// Waits until the connection has to make room for others.
    pub async fn evicted(&self) {
        self.state.evicted.cancelled().await;
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.state.record_answer();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.lock().remove(&self.key);
        self.slots.closed.notify_one();
    }
}
