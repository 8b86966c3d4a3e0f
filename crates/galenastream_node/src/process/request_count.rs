//! How many requests are in progress at a node.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::Notify;

/// The most requests of callers that a node takes in at once.
const MAX_CALLER_REQUESTS: u32 = 10_000;

/// How many requests are in progress at a node, so that a graceful stop waits for them.
#[derive(Debug, Default)]
pub struct RequestCount {
    in_progress: AtomicU32,
    left: Notify,
}

/// A request that is counted until it is dropped.
#[derive(Debug)]
pub struct CountedRequest<'a> {
    count: &'a RequestCount,
}

impl RequestCount {
    /// Counts a request in; `None` if there are too many.
    pub fn enter(&self) -> Option<CountedRequest<'_>> {
        let before = self.in_progress.fetch_add(1, Ordering::SeqCst);
        let counted = CountedRequest { count: self };
        (before < MAX_CALLER_REQUESTS).then_some(counted)
    }

    /// Waits until no request is in progress.
    pub async fn wait_until_empty(&self) {
        while self.in_progress.load(Ordering::SeqCst) > 0 {
            self.left.notified().await;
        }
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        if self.count.in_progress.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.count.left.notify_one();
        }
    }
}
