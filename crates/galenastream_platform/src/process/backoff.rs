//! The pause between requests while the platform fails.

use std::{sync::Mutex, time::Duration};

use rand::RngExt;
use tokio::time::Instant;

use crate::PlatformLimits;

/// Doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Spaces requests out while the platform fails: exponential, with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    min_ms: u64,
    max_ms: u64,
    state: Mutex<BackoffState>,
}

#[derive(Debug, Default)]
struct BackoffState {
    failures: u32,
    not_before: Option<Instant>,
}

impl Backoff {
    pub(crate) fn new(limits: &PlatformLimits) -> Self {
        Self {
            min_ms: limits.backoff_min_ms,
            max_ms: limits.backoff_max_ms,
            state: Mutex::new(BackoffState::default()),
        }
    }

    /// When the next request may be sent; `None`: now.
    pub(crate) fn not_before(&self) -> Option<Instant> {
        self.lock().not_before
    }

    pub(crate) fn record_success(&self) {
        *self.lock() = BackoffState::default();
    }

    pub(crate) fn record_failure(&self, now: Instant) {
        let mut state = self.lock();
        let ceiling_ms = self.ceiling_ms(state.failures);
        let pause_ms = rand::rng().random_range(ceiling_ms / 2..=ceiling_ms);
        state.failures = state.failures.saturating_add(1);
        state.not_before = Some(now + Duration::from_millis(pause_ms));
    }

    fn ceiling_ms(&self, failures: u32) -> u64 {
        let doubled_ms = self.min_ms.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
        doubled_ms.min(self.max_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BackoffState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
