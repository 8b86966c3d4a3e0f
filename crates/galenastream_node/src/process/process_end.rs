//! The end of a process that is about to stop.
//!
//! Load pattern: requests wait for a slot of a busy target, here or at another node, when their process
//! is stopped. They are refused while there is still time to answer, and none begins that the end of the
//! process would cut off.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Time that an answer takes to reach its caller, and its connection to be closed.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// The end of a process that is about to stop.
#[derive(Debug, Default)]
pub struct ProcessEnd {
    /// When the process ends at the latest; `None` while it is not about to stop.
    at: watch::Sender<Option<Instant>>,
}

impl ProcessEnd {
    /// Announces when the process ends.
    pub fn announce(&self, at: Instant) {
        self.at.send_replace(Some(at));
    }

    /// The time within which an answer can still reach its caller; `None` while the process is not about
    /// to stop.
    fn time_left(&self) -> Option<Duration> {
        let until_end = (*self.at.borrow())?.saturating_duration_since(Instant::now());
        Some(until_end.saturating_sub(ANSWER_TIME))
    }

    /// The same in milliseconds, at least 1.
    pub fn time_left_ms(&self) -> Option<u32> {
        let left = self.time_left()?;
        Some(u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1))
    }

    /// Whether the process ends before a request that begins now and takes `duration` is answered.
    pub fn cuts_off(&self, duration: Duration) -> bool {
        self.time_left().is_some_and(|it| it.is_zero() || it < duration)
    }

    /// Completes when a request that takes `duration` can no longer begin.
    pub async fn too_late_for(&self, duration: Duration) {
        let mut announced = self.at.subscribe();
        let Ok(Some(at)) = announced.wait_for(Option::is_some).await.map(|it| *it) else {
            return std::future::pending().await;
        };
        if let Some(last_begin) = at.checked_sub(duration + ANSWER_TIME) {
            sleep_until(last_begin).await;
        }
    }
}
