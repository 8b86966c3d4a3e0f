//! The leases of a target on keys.

use std::time::{Duration, Instant};

use serde::Deserialize;

use super::{HeldSpan, TargetConduct};

/// The leases of a target on keys, as granted by the replies to its heartbeats.
#[derive(Debug, Default)]
pub(super) struct TargetLeases {
    conduct: TargetConduct,
    /// The ranges that the last reply with leases granted.
    held: Vec<HeldSpan>,
    /// The ranges that are no longer granted and have requests in progress.
    leaving: Vec<HeldSpan>,
    released: Vec<(u16, u16, String)>,
    /// How many of the released ranges the last heartbeat has named.
    reported_count: usize,
    /// The highest fencing tokens seen: first key, last key and token.
    fences: Vec<(u16, u16, u64)>,
    /// The keys of the requests in progress.
    keys_in_use: Vec<u16>,
    ended: Vec<HeldSpan>,
}

/// The reply to a heartbeat.
#[derive(Debug, Default, Deserialize)]
pub(super) struct HeartbeatReply {
    holds: Option<Vec<(u16, u16, u64, String)>>,
    #[serde(rename = "holdMs", default)]
    lease_ms: u64,
}

/// A call that grants keys.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct GrantCall {
    #[serde(rename = "from")]
    first: u16,
    #[serde(rename = "to")]
    last: u16,
    fence: u64,
    #[serde(rename = "holdMs")]
    lease_ms: u64,
}

/// A call that takes keys back.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct ReleaseCall {
    #[serde(rename = "from")]
    pub(super) first: u16,
    #[serde(rename = "to")]
    pub(super) last: u16,
}

impl TargetLeases {
    pub(super) fn new(conduct: TargetConduct) -> Self {
        Self { conduct, ..Self::default() }
    }

    /// Returns the ranges to name in the next heartbeat: those held, with first key, last key and
    /// fencing token, and those released, with first key, last key and handover token.
    #[expect(clippy::type_complexity, reason = "the tuples are the rows of the heartbeat")]
    pub(super) fn report(&mut self) -> (Vec<(u16, u16, u64)>, &[(u16, u16, String)]) {
        self.settle(Instant::now());
        self.reported_count = self.released.len();
        let is_reported = |_: &&HeldSpan| !self.conduct.takes_calls;
        let held = self.held.iter().chain(&self.leaving).filter(is_reported);
        (held.map(|it| (it.first, it.last, it.fence)).collect(), &self.released)
    }

    /// Returns whether the next heartbeat is due soon, as ranges are yet to be released.
    pub(super) fn is_releasing(&self) -> bool {
        let is_releasing = !self.leaving.is_empty() || !self.released.is_empty();
        self.conduct.finishes_requests && is_releasing && !self.conduct.takes_calls
    }

    /// Carries out a grant by a call that arrived at `arrived_at`, from when the lease counts. Returns
    /// whether the fencing token is accepted.
    pub(super) fn grant(&mut self, call: &GrantCall, arrived_at: Instant) -> bool {
        let GrantCall { first, last, fence, .. } = *call;
        let now = Instant::now();
        self.settle(now);
        if !self.accepts(first, last, fence) {
            return false;
        }
        let until = arrived_at + self.conduct.lease_duration(Duration::from_millis(call.lease_ms));
        let mut renewed = Vec::new();
        for span in self.take_parts(first, last) {
            match span.fence == fence {
                // A call that is carried out late does not shorten a newer lease.
                true => renewed.push(HeldSpan { until: span.until.max(until), ..span }),
                false => self.ended.push(HeldSpan { until: now.min(span.until), ..span }),
            }
        }
        let whole = HeldSpan { first, last, fence, from: now, until };
        for (first, last) in uncovered_parts(&whole, &renewed) {
            self.held.push(HeldSpan { first, last, ..whole });
        }
        self.held.append(&mut renewed);
        true
    }

    /// Stops new requests on a range, as a call for its release does.
    pub(super) fn begin_release(&mut self, first: u16, last: u16) {
        let now = Instant::now();
        self.settle(now);
        for span in self.take_parts(first, last) {
            match self.is_in_use(&span) {
                true => self.leaving.push(span),
                false => self.ended.push(HeldSpan { until: now, ..span }),
            }
        }
    }

    /// Returns whether the requests on a range that was released have ended.
    pub(super) fn is_released(&mut self, first: u16, last: u16) -> bool {
        self.settle(Instant::now());
        !self.leaving.iter().any(|it| it.first <= last && first <= it.last)
    }

    /// Takes the held parts of a range out of what is held.
    fn take_parts(&mut self, first: u16, last: u16) -> Vec<HeldSpan> {
        let mut taken = Vec::new();
        for span in std::mem::take(&mut self.held) {
            if last < span.first || span.last < first {
                self.held.push(span);
                continue;
            }
            let inside =
                HeldSpan { first: span.first.max(first), last: span.last.min(last), ..span };
            for (first, last) in uncovered_parts(&span, &[inside]) {
                self.held.push(HeldSpan { first, last, ..span });
            }
            taken.push(inside);
        }
        taken
    }

    /// Applies the reply to a heartbeat that was sent at `sent_at`, from when the leases count.
    pub(super) fn apply(&mut self, reply: HeartbeatReply, sent_at: Instant) {
        self.released.drain(..self.reported_count);
        self.reported_count = 0;
        let Some(rows) = reply.holds.filter(|_| !self.conduct.takes_calls) else {
            return;
        };
        let now = Instant::now();
        let until = sent_at + self.conduct.lease_duration(Duration::from_millis(reply.lease_ms));
        let mut before = std::mem::take(&mut self.held);
        before.append(&mut self.leaving);
        for (first, last, fence, _) in rows {
            if !self.accepts(first, last, fence) {
                log::warn!("keys {first} to {last} are refused under fencing token {fence}");
                continue;
            }
            // A lease that is renewed without a gap extends its span.
            let is_renewed = |it: &&HeldSpan| {
                it.first <= first && last <= it.last && it.fence == fence && it.until >= now
            };
            let from = before.iter().find(is_renewed).map_or(now, |it| it.from);
            self.held.push(HeldSpan { first, last, fence, from, until });
        }
        for span in before {
            let has_same_keys =
                |it: &HeldSpan| (it.first, it.last, it.from) == (span.first, span.last, span.from);
            if self.held.iter().any(has_same_keys) {
                continue;
            }
            self.withdraw(span, now);
        }
    }

    /// Ends all leases now, as the end of the target does.
    pub(super) fn end(&mut self) {
        let now = Instant::now();
        for span in self.held.drain(..).chain(self.leaving.drain(..)) {
            self.ended.push(HeldSpan { until: span.until.min(now), ..span });
        }
    }

    /// Returns whether a key is held under a lease that has not expired.
    pub(super) fn covers(&self, key: u16) -> bool {
        let now = Instant::now();
        self.held.iter().any(|it| it.first <= key && key <= it.last && now < it.until)
    }

    /// Starts a request for a key. Returns whether the key is held.
    pub(super) fn begin_request(&mut self, key: u16) -> bool {
        let is_held = self.covers(key);
        if is_held {
            self.keys_in_use.push(key);
        }
        is_held
    }

    /// Ends a request for a key, and releases its range if that waited for the request.
    pub(super) fn end_request(&mut self, key: u16) {
        if let Some(index) = self.keys_in_use.iter().position(|it| *it == key) {
            self.keys_in_use.swap_remove(index);
        }
        self.settle(Instant::now());
    }

    /// Returns when a request for a key has to end, unless the lease is renewed; `None` if requests
    /// are not bound to leases.
    pub(super) fn request_end(&self, key: u16) -> Option<Instant> {
        let spans = self.held.iter().chain(&self.leaving);
        let ends = spans.filter(|it| it.first <= key && key <= it.last).map(|it| it.until);
        self.conduct.finishes_requests.then(|| ends.max().unwrap_or_else(Instant::now))
    }

    /// Returns how many keys were granted last, whether or not their leases have expired.
    pub(super) fn key_count(&self) -> usize {
        self.held.iter().map(|it| usize::from(it.last - it.first) + 1).sum()
    }

    /// Returns which keys were held and for how long.
    pub(super) fn spans(&self) -> Vec<HeldSpan> {
        self.ended.iter().chain(&self.held).chain(&self.leaving).copied().collect()
    }

    /// Returns whether a range may be held under a fencing token, and records the token.
    fn accepts(&mut self, first: u16, last: u16, fence: u64) -> bool {
        let is_higher = |it: &(u16, u16, u64)| it.0 <= last && first <= it.1 && it.2 > fence;
        if self.conduct.checks_fences && self.fences.iter().any(is_higher) {
            return false;
        }
        self.fences.retain(|it| it.0 < first || last < it.1 || it.2 > fence);
        self.fences.push((first, last, fence));
        true
    }

    /// Handles a span whose range is no longer granted in whole.
    fn withdraw(&mut self, span: HeldSpan, now: Instant) {
        let has_expired = self.conduct.finishes_requests && span.until <= now;
        let mut kept_in_whole = false;
        for (first, last) in uncovered_parts(&span, &self.held) {
            let part = HeldSpan { first, last, ..span };
            if has_expired {
                continue;
            }
            if self.is_in_use(&part) {
                kept_in_whole = part == span;
                self.leaving.push(part);
                continue;
            }
            self.release(&part);
        }
        if !kept_in_whole {
            self.ended.push(HeldSpan { until: span.until.min(now), ..span });
        }
    }

    /// Releases the ranges whose requests have ended, and forgets expired leases.
    fn settle(&mut self, now: Instant) {
        for span in std::mem::take(&mut self.leaving) {
            if span.until <= now {
                self.ended.push(span);
                continue;
            }
            if self.is_in_use(&span) {
                self.leaving.push(span);
                continue;
            }
            self.release(&span);
            self.ended.push(HeldSpan { until: now, ..span });
        }
        if self.conduct.finishes_requests {
            let (held, expired) = self.held.iter().partition::<Vec<_>, _>(|it| now < it.until);
            self.held = held;
            self.ended.extend(expired);
        }
    }

    fn is_in_use(&self, span: &HeldSpan) -> bool {
        let finishes_requests = self.conduct.finishes_requests || self.conduct.takes_calls;
        let is_in_use = self.keys_in_use.iter().any(|it| span.first <= *it && *it <= span.last);
        finishes_requests && is_in_use
    }

    fn release(&mut self, span: &HeldSpan) {
        if self.conduct.takes_calls {
            return;
        }
        let HeldSpan { first, last, fence, .. } = *span;
        self.released.push((first, last, format!("handover-{first}-{fence}")));
    }
}

/// Returns the parts of a span that no other span covers.
fn uncovered_parts(span: &HeldSpan, others: &[HeldSpan]) -> Vec<(u16, u16)> {
    let mut parts = vec![(span.first, span.last)];
    for other in others {
        let mut left = Vec::new();
        for (first, last) in parts {
            if last < other.first || other.last < first {
                left.push((first, last));
                continue;
            }
            if first < other.first {
                left.push((first, other.first - 1));
            }
            if other.last < last {
                left.push((other.last + 1, last));
            }
        }
        parts = left;
    }
    parts
}
