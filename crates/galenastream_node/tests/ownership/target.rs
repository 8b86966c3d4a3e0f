//! A simulated target that follows the platform's protocol and enforces its leases on its own
//! clock.

use galenastream_adapter::{Grant, HeartbeatReply};
use galenastream_ranges::KeyRange;
use galenastream_standin::{HeartbeatFields, heartbeat_body};

/// How long a target waits for the reply to a heartbeat.
const REPLY_TIMEOUT_MS: u64 = 1_000;

/// The longest time to the next heartbeat while revoked keys are being released.
const MAX_RELEASE_GAP_MS: u64 = 150;

/// A range of keys that a target holds or is releasing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRange {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub until_ms: u64,
}

/// The target of one VM. Times are in the virtual time of the simulation.
#[derive(Debug)]
pub struct Target {
    pub id: String,
    pub address: String,
    pub held: Vec<HeldRange>,
    /// By how many percent its clock runs slow.
    pub clock_slow_percent: u64,
    /// Counts the targets at the address; an id may be used again.
    pub life: u64,
    /// The start time that it reports, if it reports one.
    pub born_ms: Option<u64>,
    pub stop: Option<OrderlyStop>,
    /// Whether it gives up the work on revoked keys when their lease expires.
    pub ends_work_with_lease: bool,
    /// Whether heartbeats report the keys that it holds and has released.
    pub reports_keys: bool,
    pub sent_at_ms: Option<u64>,
    pub starts_at_ms: u64,
    pub next_heartbeat_ms: u64,
    sequence: u64,
    releases: Vec<(u16, u16, String)>,
    /// The number of releases in the last heartbeat.
    reported_releases: usize,
    /// Revoked keys for which requests are still in progress, and when these end.
    releasing: Vec<(HeldRange, u64)>,
    /// The fencing tokens of grants by calls.
    seen_fences: Vec<(KeyRange, u64)>,
}

/// The stop of a target that has closed its listener and still holds its keys.
#[derive(Debug, Clone, Copy)]
pub struct OrderlyStop {
    pub ends_at_ms: u64,
    /// The connections of its requests in progress.
    pub open_connections: usize,
    pub sends_heartbeats: bool,
}

impl Target {
    pub fn new(id: String, address: String, clock_slow_percent: u64, starts_at_ms: u64) -> Self {
        Self {
            id,
            address,
            held: Vec::new(),
            clock_slow_percent,
            life: 0,
            born_ms: None,
            stop: None,
            ends_work_with_lease: false,
            reports_keys: true,
            sent_at_ms: None,
            starts_at_ms,
            next_heartbeat_ms: starts_at_ms,
            sequence: 0,
            releases: Vec::new(),
            reported_releases: 0,
            releasing: Vec::new(),
            seen_fences: Vec::new(),
        }
    }

    /// Advances the target to `now_ms`: expires leases, completes releases and gives up unanswered
    /// heartbeats.
    pub fn advance(&mut self, now_ms: u64) {
        self.held.retain(|it| now_ms < it.until_ms);
        let ended: Vec<HeldRange> =
            self.releasing.iter().filter(|it| now_ms >= it.1).map(|it| it.0.clone()).collect();
        for range in ended {
            // An expired lease is not reported as released.
            if self.ends_work_with_lease && now_ms >= range.until_ms {
                continue;
            }
            self.releases.push((range.first, range.last, format!("h-{}-{now_ms}", self.id)));
        }
        self.releasing.retain(|it| now_ms < it.1);
        if self.sent_at_ms.is_some_and(|it| now_ms >= it + REPLY_TIMEOUT_MS) {
            self.sent_at_ms = None;
            self.next_heartbeat_ms = now_ms;
        }
    }

    /// The body of the next heartbeat, if it is due.
    pub fn next_heartbeat(&mut self, now_ms: u64, interval_ms: u64) -> Option<Vec<u8>> {
        if self.sent_at_ms.is_some() || now_ms < self.next_heartbeat_ms {
            return None;
        }
        if self.stop.is_some_and(|it| !it.sends_heartbeats) {
            return None;
        }
        self.sequence += 1;
        self.sent_at_ms = Some(now_ms);
        self.next_heartbeat_ms = now_ms + interval_ms;
        let held = self.held.iter().chain(self.releasing.iter().map(|it| &it.0));
        let mut held: Vec<_> = held.map(|it| (it.first, it.last, it.fence)).collect();
        if !self.reports_keys {
            held.clear();
            self.releases.clear();
        }
        let body = heartbeat_body(HeartbeatFields {
            address: &self.address,
            service: "carts",
            slots: 8,
            sequence: self.sequence,
            held: &held,
            released: &self.releases,
            born_ms: self.born_ms,
        });
        self.reported_releases = self.releases.len();
        Some(body.into_bytes())
    }

    /// Handles the reply to the outstanding heartbeat. Requests on revoked keys go on for
    /// `release_delay_ms`.
    pub fn handle_reply(&mut self, reply: &HeartbeatReply, now_ms: u64, release_delay_ms: u64) {
        let Some(sent_at_ms) = self.sent_at_ms.take() else {
            return;
        };
        self.releases.drain(..self.reported_releases);
        self.reported_releases = 0;
        let HeartbeatReply::Leases { grants, lease_ms } = reply else {
            return;
        };
        let until_ms = sent_at_ms + lease_ms * (100 + self.clock_slow_percent) / 100;
        let mut kept = Vec::new();
        for range in std::mem::take(&mut self.held) {
            for (first, last) in uncovered_parts(range.first, range.last, grants) {
                let revoked = HeldRange { first, last, ..range.clone() };
                let ends_at_ms = match self.ends_work_with_lease {
                    true => revoked.until_ms.min(now_ms + release_delay_ms),
                    false => now_ms + release_delay_ms,
                };
                self.releasing.push((revoked, ends_at_ms));
                self.next_heartbeat_ms = now_ms + release_delay_ms.clamp(100, MAX_RELEASE_GAP_MS);
            }
        }
        for grant in grants {
            let (first, last, fence) = (grant.first, grant.last, grant.fence);
            kept.push(HeldRange { first, last, fence, until_ms });
        }
        self.held = kept;
    }

    /// Carries out a grant that has arrived at `arrived_at_ms`. Returns whether it was accepted.
    pub fn grant(
        &mut self,
        range: KeyRange,
        fence: u64,
        arrived_at_ms: u64,
        lease_ms: u64,
    ) -> bool {
        let is_higher = |(seen, it): &(KeyRange, u64)| *it > fence && seen.overlap(range).is_some();
        if self.seen_fences.iter().any(is_higher) {
            return false;
        }
        self.seen_fences.push((range, fence));
        let until_ms = arrived_at_ms + lease_ms * (100 + self.clock_slow_percent) / 100;
        // A grant that is carried out late does not shorten newer ones.
        let mut parts = vec![range];
        for held in self.withdraw(range) {
            let Some(kept) = KeyRange::new(held.first, held.last) else {
                continue;
            };
            if held.fence == fence && held.until_ms > until_ms {
                parts = parts.iter().flat_map(|it| it.without(kept)).flatten().collect();
                self.held.push(held);
            }
        }
        for part in parts {
            let (first, last) = (part.first, part.last);
            self.held.push(HeldRange { first, last, fence, until_ms });
        }
        true
    }

    /// Carries out a release. Returns when the work on the keys ends.
    pub fn release(&mut self, range: KeyRange, now_ms: u64, release_delay_ms: u64) -> u64 {
        for revoked in self.withdraw(range) {
            let ends_at_ms = match self.ends_work_with_lease {
                true => revoked.until_ms.min(now_ms + release_delay_ms),
                false => now_ms + release_delay_ms,
            };
            self.releasing.push((revoked, ends_at_ms));
        }
        let at_work = self.releasing.iter().filter(|it| overlaps(&it.0, range));
        at_work.map(|it| it.1).fold(now_ms, u64::max)
    }

    /// Takes a range out of what is held, and returns what was held of it.
    fn withdraw(&mut self, range: KeyRange) -> Vec<HeldRange> {
        let mut withdrawn = Vec::new();
        for held in std::mem::take(&mut self.held) {
            let Some(whole) = KeyRange::new(held.first, held.last) else {
                continue;
            };
            let Some(part) = whole.overlap(range) else {
                self.held.push(held);
                continue;
            };
            for rest in whole.without(range).into_iter().flatten() {
                self.held.push(HeldRange { first: rest.first, last: rest.last, ..held.clone() });
            }
            withdrawn.push(HeldRange { first: part.first, last: part.last, ..held });
        }
        withdrawn
    }

    /// The fencing token of its lease on a key at `now_ms`, if it has one.
    pub fn fence_of(&self, key: u16, now_ms: u64) -> Option<u64> {
        let held = self.held.iter().find(|it| it.first <= key && key <= it.last);
        held.filter(|it| now_ms < it.until_ms).map(|it| it.fence)
    }

    /// Whether its listener accepts connections.
    pub const fn is_listening(&self, now_ms: u64) -> bool {
        now_ms >= self.starts_at_ms && self.stop.is_none()
    }

    /// The connections between it and its node.
    pub fn open_connections(&self, now_ms: u64) -> usize {
        if now_ms < self.starts_at_ms {
            return 0;
        }
        let requests = self.stop.map_or(0, |it| it.open_connections);
        requests + usize::from(self.sent_at_ms.is_some())
    }

    /// Whether requests on a revoked key are still in progress.
    pub fn is_releasing(&self, key: u16) -> bool {
        self.releasing.iter().any(|it| it.0.first <= key && key <= it.0.last)
    }
}

fn overlaps(held: &HeldRange, range: KeyRange) -> bool {
    held.first <= range.last && range.first <= held.last
}

/// The parts of a range that no grant covers.
fn uncovered_parts(first: u16, last: u16, grants: &[Grant]) -> Vec<(u16, u16)> {
    let mut parts = Vec::new();
    let mut next = u32::from(first);
    let mut sorted: Vec<_> = grants.iter().collect();
    sorted.sort_by_key(|it| it.first);
    for grant in sorted {
        if grant.last < first || grant.first > last {
            continue;
        }
        if u32::from(grant.first) > next {
            parts.push((next as u16, grant.first - 1));
        }
        next = next.max(u32::from(grant.last) + 1);
    }
    if next <= u32::from(last) {
        parts.push((next as u16, last));
    }
    parts
}
