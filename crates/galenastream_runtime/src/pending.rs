//! Correlation of replies with the requests on a connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use galenastream_utils::FastMap;
use tokio::sync::oneshot;

/// The requests on a connection that wait for their replies, by correlation id.
#[derive(Debug)]
pub struct PendingReplies<B> {
    state: Mutex<PendingState<B>>,
}

#[derive(Debug)]
enum PendingState<B> {
    Open { next: u64, waiting: FastMap<u64, oneshot::Sender<B>> },
    Closed,
}

/// A request that waits for its reply.
#[derive(Debug)]
pub struct PendingReply<B> {
    /// The correlation id.
    pub correlation: u64,
    /// Yields the reply, or an error if the connection is closed first.
    pub reply: oneshot::Receiver<B>,
}

impl<B> PendingReplies<B> {
    /// Creates the empty table of an open connection.
    pub fn new() -> Self {
        Self { state: Mutex::new(PendingState::Open { next: 1, waiting: FastMap::default() }) }
    }

    /// Adds a request. Returns `None` if the connection is closed.
    pub fn add(&self) -> Option<PendingReply<B>> {
        let mut state = self.lock();
        let PendingState::Open { next, waiting } = &mut *state else {
            return None;
        };
        let correlation = *next;
        *next += 1;
        let (sender, reply) = oneshot::channel();
        waiting.insert(correlation, sender);
        Some(PendingReply { correlation, reply })
    }

    /// Delivers a reply. Returns false if the request is no longer pending.
    pub fn complete(&self, correlation: u64, body: B) -> bool {
        let sender = match &mut *self.lock() {
            PendingState::Open { waiting, .. } => waiting.remove(&correlation),
            PendingState::Closed => None,
        };
        sender.is_some_and(|it| it.send(body).is_ok())
    }

    /// Whether a request is pending.
    pub fn contains(&self, correlation: u64) -> bool {
        match &*self.lock() {
            PendingState::Open { waiting, .. } => waiting.contains_key(&correlation),
            PendingState::Closed => false,
        }
    }

    /// Removes a request. Returns false if it is no longer pending.
    pub fn remove(&self, correlation: u64) -> bool {
        match &mut *self.lock() {
            PendingState::Open { waiting, .. } => waiting.remove(&correlation).is_some(),
            PendingState::Closed => false,
        }
    }

    /// Closes the table: fails all pending requests, and refuses new ones.
    pub fn close(&self) {
        *self.lock() = PendingState::Closed;
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        matches!(*self.lock(), PendingState::Closed)
    }

    fn lock(&self) -> MutexGuard<'_, PendingState<B>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<B> Default for PendingReplies<B> {
    fn default() -> Self {
        Self::new()
    }
}
