//! A target as its interface describes it: it enforces its leases on its own clock.

use galenastream_adapter::{Grant, HeartbeatReply};
use galenastream_standin::{HeartbeatFields, heartbeat_body};

/// How long a target waits for the answer to a heartbeat.
const ANSWER_LIMIT_MS: u64 = 1_000;

/// Keys that a target holds or still works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub until_ms: u64,
}

/// A target of one VM. Times are of the world's clock.
#[derive(Debug)]
pub struct Target {
    pub id: String,
    pub address: String,
    pub holds: Vec<Hold>,
    /// Its clock runs slow by this many hundredths.
    pub slow_percent: u64,
    pub sent_at_ms: Option<u64>,
    pub starts_at_ms: u64,
    pub next_beat_ms: u64,
    sequence: u64,
    releases: Vec<(u16, u16, String)>,
    /// Keys that it still works on, although they were taken away, and until when.
    working: Vec<(Hold, u64)>,
}

impl Target {
    pub fn new(id: String, address: String, slow_percent: u64, starts_at_ms: u64) -> Self {
        Self {
            id,
            address,
            holds: Vec::new(),
            slow_percent,
            sent_at_ms: None,
            starts_at_ms,
            next_beat_ms: starts_at_ms,
            sequence: 0,
            releases: Vec::new(),
            working: Vec::new(),
        }
    }

    /// Lets time pass: leases run out, work ends, unanswered heartbeats are given up.
    pub fn pass(&mut self, now_ms: u64) {
        self.holds.retain(|it| now_ms < it.until_ms);
        let ended: Vec<Hold> =
            self.working.iter().filter(|it| now_ms >= it.1).map(|it| it.0.clone()).collect();
        for hold in ended {
            self.releases.push((hold.first, hold.last, format!("h-{}-{now_ms}", self.id)));
        }
        self.working.retain(|it| now_ms < it.1);
        if self.sent_at_ms.is_some_and(|it| now_ms >= it + ANSWER_LIMIT_MS) {
            self.sent_at_ms = None;
            self.next_beat_ms = now_ms;
        }
    }

    /// The body of the heartbeat that is due, if one is.
    pub fn beat(&mut self, now_ms: u64, interval_ms: u64) -> Option<Vec<u8>> {
        if self.sent_at_ms.is_some() || now_ms < self.next_beat_ms {
            return None;
        }
        self.sequence += 1;
        self.sent_at_ms = Some(now_ms);
        self.next_beat_ms = now_ms + interval_ms;
        let held = self.holds.iter().chain(self.working.iter().map(|it| &it.0));
        let held: Vec<_> = held.map(|it| (it.first, it.last, it.fence)).collect();
        let body = heartbeat_body(HeartbeatFields {
            address: &self.address,
            service: "carts",
            slots: 8,
            sequence: self.sequence,
            held: &held,
            released: &self.releases,
        });
        Some(body.into_bytes())
    }

    /// Takes the answer to the heartbeat that is on its way.
    pub fn take_reply(&mut self, reply: &HeartbeatReply, now_ms: u64, work_ms: u64) {
        let Some(sent_at_ms) = self.sent_at_ms.take() else {
            return;
        };
        self.releases.clear();
        let HeartbeatReply::Leases { grants, lease_ms } = reply else {
            return;
        };
        let until_ms = sent_at_ms + lease_ms * (100 + self.slow_percent) / 100;
        let mut kept = Vec::new();
        for hold in std::mem::take(&mut self.holds) {
            for (first, last) in without(hold.first, hold.last, grants) {
                let left = Hold { first, last, ..hold.clone() };
                self.working.push((left, now_ms + work_ms));
                self.next_beat_ms = now_ms + 100.max(work_ms);
            }
        }
        for grant in grants {
            let (first, last, fence) = (grant.first, grant.last, grant.fence);
            kept.push(Hold { first, last, fence, until_ms });
        }
        self.holds = kept;
    }

    /// The fencing token under which it may begin work on a key now.
    pub fn fence_of(&self, key: u16, now_ms: u64) -> Option<u64> {
        let held = self.holds.iter().find(|it| it.first <= key && key <= it.last);
        held.filter(|it| now_ms < it.until_ms).map(|it| it.fence)
    }

    /// Whether it works on a key that was taken away from it.
    pub fn works_on(&self, key: u16) -> bool {
        self.working.iter().any(|it| it.0.first <= key && key <= it.0.last)
    }
}

/// The parts of a range that no grant has.
fn without(first: u16, last: u16, grants: &[Grant]) -> Vec<(u16, u16)> {
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
