//! Counts open connections.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The number of open connections of a kind. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount {
    open: Arc<AtomicUsize>,
}

/// An open connection that is counted until this is dropped.
#[derive(Debug)]
pub struct CountedConnection {
    open: Arc<AtomicUsize>,
}

impl ConnectionCount {
    /// Creates a count of no connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a connection until the returned value is dropped.
    pub fn count(&self) -> CountedConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        CountedConnection { open: self.open.clone() }
    }

    /// The number of connections that are open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
