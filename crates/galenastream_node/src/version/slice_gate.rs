//! The count of requests in progress on one assignment of a slice.

use std::sync::atomic::{AtomicU32, Ordering};

use galenastream_ownership::{HeldSlice, SliceEpoch};
use tokio::sync::Notify;

use super::SliceMeter;

/// Counts the requests in progress on one assignment of a slice, so that a handoff waits for them.
#[derive(Debug)]
pub struct SliceGate {
    slice: HeldSlice,
    in_progress: AtomicU32,
    left: Notify,
    meter: SliceMeter,
}

impl SliceGate {
    /// Creates a gate with nothing in progress.
    pub fn new(slice: HeldSlice) -> Self {
        Self {
            slice,
            in_progress: AtomicU32::new(0),
            left: Notify::new(),
            meter: SliceMeter::default(),
        }
    }

    /// The slice and its assignment.
    pub fn id(&self) -> SliceEpoch {
        self.slice.id
    }

    /// Whether a position falls into both slices.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.slice.first <= other.slice.last && other.slice.first <= self.slice.last
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
            self.left.notify_waiters();
        }
    }

    /// Whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.load(Ordering::SeqCst) == 0
    }

    /// Waits until nothing is in progress.
    pub async fn wait_until_empty(&self) {
        loop {
            let left = self.left.notified();
            tokio::pin!(left);
            // Enabled before the look at the count, so that no one leaves unnoticed in between.
            left.as_mut().enable();
            if self.is_empty() {
                return;
            }
            left.await;
        }
    }
}
