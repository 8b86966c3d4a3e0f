//! The leases of a target on keys.

use std::time::{Duration, Instant};

use serde::Deserialize;

use super::HeldSpan;

/// The leases of a target on keys, as granted by the replies to its heartbeats.
#[derive(Debug, Default)]
pub(super) struct TargetLeases {
    held: Vec<(u16, u16, u64)>,
    released: Vec<(u16, u16, String)>,
    expires_at: Option<Instant>,
    spans: Vec<HeldSpan>,
}

/// The reply to a heartbeat.
#[derive(Debug, Default, Deserialize)]
pub(super) struct HeartbeatReply {
    holds: Option<Vec<(u16, u16, u64, String)>>,
    #[serde(rename = "holdMs", default)]
    lease_ms: u64,
}

impl TargetLeases {
    /// Returns the ranges granted last: first key, last key and fencing token.
    pub(super) fn held(&self) -> &[(u16, u16, u64)] {
        &self.held
    }

    /// Returns the ranges that the last reply no longer granted: first key, last key and handover
    /// token.
    pub(super) fn released(&self) -> &[(u16, u16, String)] {
        &self.released
    }

    /// Applies the reply to a heartbeat that was sent at `sent_at`, from when the leases count.
    pub(super) fn apply(&mut self, reply: HeartbeatReply, sent_at: Instant) {
        self.released.clear();
        let Some(holds) = reply.holds else {
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
        let until = sent_at + Duration::from_millis(reply.lease_ms);
        self.record(&granted, until);
        self.held = granted;
        self.expires_at = Some(until);
    }

    /// Ends all leases now, as the end of the target does.
    pub(super) fn end(&mut self) {
        self.record(&[], Instant::now());
        self.held.clear();
    }

    /// Returns whether a key is held under a lease that has not expired.
    pub(super) fn covers(&self, key: u16) -> bool {
        let is_live = self.expires_at.is_some_and(|it| Instant::now() < it);
        is_live && self.held.iter().any(|it| it.0 <= key && key <= it.1)
    }

    /// Returns how many keys were granted last, whether or not their leases have expired.
    pub(super) fn key_count(&self) -> usize {
        self.held.iter().map(|it| usize::from(it.1 - it.0) + 1).sum()
    }

    /// Returns which keys were held and for how long.
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
            // A lease that is renewed without a gap extends its span.
            match self.spans.iter_mut().rev().find(same) {
                Some(span) => span.until = until,
                None => self.spans.push(HeldSpan { first, last, fence, from: now, until }),
            }
        }
    }
}
