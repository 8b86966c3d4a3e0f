//! The keys that a target holds.

use std::time::{Duration, Instant};

use serde::Deserialize;

/// The keys that a target holds, as the answers to its heartbeats say.
#[derive(Debug, Default)]
pub(super) struct TargetLeases {
    held: Vec<(u16, u16, u64)>,
    released: Vec<(u16, u16, String)>,
    until: Option<Instant>,
}

/// The answer to a heartbeat.
#[derive(Debug, Default, Deserialize)]
pub(super) struct HeartbeatAnswer {
    holds: Option<Vec<(u16, u16, u64, String)>>,
    #[serde(rename = "holdMs", default)]
    hold_ms: u64,
}

impl TargetLeases {
    /// Ranges that are held, with their fencing tokens.
    pub(super) fn held(&self) -> &[(u16, u16, u64)] {
        &self.held
    }

    /// Ranges that were released since the last answer, with their handover tokens.
    pub(super) fn released(&self) -> &[(u16, u16, String)] {
        &self.released
    }

    /// Takes the answer to a heartbeat in that was sent at `sent_at`.
    pub(super) fn take(&mut self, answer: HeartbeatAnswer, sent_at: Instant) {
        self.released.clear();
        let Some(holds) = answer.holds else {
            return;
        };
        let granted: Vec<(u16, u16, u64)> =
            holds.into_iter().map(|it| (it.0, it.1, it.2)).collect();
        for (first, last, fence) in std::mem::take(&mut self.held) {
            let is_kept = granted.iter().any(|it| it.0 <= first && last <= it.1);
            if !is_kept {
                self.released.push((first, last, format!("handover-{first}-{fence}")));
            }
        }
        self.held = granted;
        self.until = Some(sent_at + Duration::from_millis(answer.hold_ms));
    }

    /// Whether a key is held now.
    pub(super) fn covers(&self, key: u16) -> bool {
        let is_live = self.until.is_some_and(|it| Instant::now() < it);
        is_live && self.held.iter().any(|it| it.0 <= key && key <= it.1)
    }

    /// How many keys are held now.
    pub(super) fn key_count(&self) -> usize {
        self.held.iter().map(|it| usize::from(it.1 - it.0) + 1).sum()
    }
}
