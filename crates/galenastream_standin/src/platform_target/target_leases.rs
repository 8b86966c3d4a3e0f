//! The keys that a target holds.

use std::time::{Duration, Instant};

use serde::Deserialize;

use super::HeldSpan;

/// The keys that a target holds, as the answers to its heartbeats say.
#[derive(Debug, Default)]
pub(super) struct TargetLeases {
    held: Vec<(u16, u16, u64)>,
    released: Vec<(u16, u16, String)>,
    until: Option<Instant>,
    spans: Vec<HeldSpan>,
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
        let until = sent_at + Duration::from_millis(answer.hold_ms);
        self.record(&granted, until);
        self.held = granted;
        self.until = Some(until);
    }

    /// Ends what is held now, as the end of the target does.
    pub(super) fn end(&mut self) {
        self.record(&[], Instant::now());
        self.held.clear();
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

    /// The keys that were held and for how long.
    pub(super) fn spans(&self) -> &[HeldSpan] {
        &self.spans
    }

    fn record(&mut self, granted: &[(u16, u16, u64)], until: Instant) {
        let now = Instant::now();
        for span in &mut self.spans {
            span.until = span.until.min(now);
        }
        for &(first, last, fence) in granted {
            let same = |it: &&mut HeldSpan| {
                (it.first, it.last, it.fence) == (first, last, fence) && it.until == now
            };
            // Renewed without a gap, it is one span.
            match self.spans.iter_mut().rev().find(same) {
                Some(span) => span.until = until,
                None => self.spans.push(HeldSpan { first, last, fence, from: now, until }),
            }
        }
    }
}
