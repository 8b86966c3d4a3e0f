//! The count of requests in progress on one assignment of a slice.

use std::sync::atomic::{AtomicU32, Ordering};

use galenastream_ownership::SliceEpoch;
use tokio::sync::Notify;

use super::SliceMeter;

/// Counts the requests in progress on one assignment of a slice, so that a handoff waits for them.
#[derive(Debug)]
pub struct SliceGate {
    id: SliceEpoch,
    in_progress: AtomicU32,
    left: Notify,
    meter: SliceMeter,
}

impl SliceGate {
    /// Creates a gate with nothing in progress.
    pub fn new(id: SliceEpoch) -> Self {
        Self {
            id,
            in_progress: AtomicU32::new(0),
            left: Notify::new(),
            meter: SliceMeter::default(),
        }
    }

    /// The slice and its assignment.
    pub fn id(&self) -> SliceEpoch {
        self.id
    }

    /// Measures the load of the slice.
    pub fn meter(&self) -> &SliceMeter {
        &self.meter
    }

    /// Counts a request in. The caller checks the lease afterwards.
    pub fn enter(&self) {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request out.
    pub fn leave(&self) {
        if self.in_progress.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.left.notify_one();
        }
    }

    /// Whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.load(Ordering::SeqCst) == 0
    }

    /// Waits until nothing is in progress. Meant for the one task that stops the slice.
    pub async fn wait_until_empty(&self) {
        while !self.is_empty() {
            self.left.notified().await;
        }
    }
}
