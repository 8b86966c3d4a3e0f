//! A target that enforces its leases on its own clock.

use galenastream_adapter::{Grant, HeartbeatReply};
use galenastream_standin::{HeartbeatFields, heartbeat_body};

use super::deployment::SAMPLE_KEYS;
use crate::fixtures::HEARTBEAT_MS;

/// How long a target waits for the reply to a heartbeat.
const REPLY_TIMEOUT_MS: u64 = 1_000;

/// How long work on revoked keys goes on.
const RELEASE_MS: u64 = 80;

/// The time until the heartbeat that reports a release.
const RELEASE_HEARTBEAT_MS: u64 = 100;

/// The number of keys whose load is measured as a whole.
const PART_KEYS: usize = 4_096;

/// A range of keys that a target holds.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub until_ms: u64,
}

/// A target.
#[derive(Debug)]
pub struct PlayedTarget {
    pub id: String,
    pub born_ms: Option<u64>,
    pub starts_at_ms: u64,
    /// When the heartbeat was sent whose reply the target waits for.
    pub sent_ms: Option<u64>,
    pub holds: Vec<Hold>,
    /// Revoked ranges on which work goes on, and until when.
    pub at_work: Vec<(Hold, u64)>,
    slow_percent: u64,
    address: String,
    sequence: u64,
    next_heartbeat_ms: u64,
    releases: Vec<(u16, u16, String)>,
    /// The highest fencing token that it has seen on each sample key.
    seen_fences: [u64; SAMPLE_KEYS.len()],
}

impl PlayedTarget {
    pub fn new(
        id: String,
        born_ms: Option<u64>,
        address: String,
        slow_percent: u64,
        starts_at_ms: u64,
    ) -> Self {
        Self {
            id,
            born_ms,
            starts_at_ms,
            sent_ms: None,
            holds: Vec::new(),
            at_work: Vec::new(),
            slow_percent,
            address,
            sequence: 0,
            next_heartbeat_ms: starts_at_ms,
            releases: Vec::new(),
            seen_fences: [0; SAMPLE_KEYS.len()],
        }
    }

    pub fn runs(&self, now_ms: u64) -> bool {
        now_ms >= self.starts_at_ms
    }

    /// Expires leases, ends work on revoked keys and gives up an unanswered heartbeat.
    pub fn advance(&mut self, now_ms: u64) {
        self.holds.retain(|it| now_ms < it.until_ms);
        for (hold, _) in self.at_work.extract_if(.., |it| now_ms >= it.1) {
            // An expired lease is not reported as released.
            if now_ms < hold.until_ms {
                self.releases.push((hold.first, hold.last, format!("{}-{now_ms}", self.id)));
            }
        }
        if self.sent_ms.is_some_and(|it| now_ms >= it + REPLY_TIMEOUT_MS) {
            self.give_up_heartbeat(now_ms);
        }
    }

    /// Sends the next heartbeat at once, since the last one was not answered.
    pub fn give_up_heartbeat(&mut self, now_ms: u64) {
        self.sent_ms = None;
        self.next_heartbeat_ms = now_ms;
    }

    /// The body of the next heartbeat, if it is due.
    pub fn next_heartbeat(&mut self, now_ms: u64) -> Option<Vec<u8>> {
        if self.sent_ms.is_some() || now_ms < self.next_heartbeat_ms || !self.runs(now_ms) {
            return None;
        }
        self.sequence += 1;
        self.sent_ms = Some(now_ms);
        self.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let held = self.holds.iter().chain(self.at_work.iter().map(|it| &it.0));
        let held: Vec<_> = held.map(|it| (it.first, it.last, it.fence)).collect();
        let body = heartbeat_body(HeartbeatFields {
            address: &self.address,
            service: "carts",
            slots: 8,
            sequence: self.sequence,
            held: &held,
            released: &self.releases,
            born_ms: self.born_ms,
        });
        Some(body.into_bytes())
    }

    /// Handles the reply to the heartbeat that was sent at `sent_ms`. Returns the new or renewed
    /// holds.
    pub fn handle_reply(&mut self, reply: &HeartbeatReply, sent_ms: u64, now_ms: u64) -> Vec<Hold> {
        if self.sent_ms != Some(sent_ms) {
            return Vec::new();
        }
        self.sent_ms = None;
        self.releases.clear();
        let HeartbeatReply::Leases { grants, lease_ms } = reply else {
            return Vec::new();
        };
        let until_ms = sent_ms + lease_ms * (100 + self.slow_percent) / 100;
        for hold in std::mem::take(&mut self.holds) {
            for (first, last) in uncovered_parts(hold, grants) {
                self.at_work.push((Hold { first, last, ..hold }, now_ms + RELEASE_MS));
                self.next_heartbeat_ms = now_ms + RELEASE_HEARTBEAT_MS;
            }
        }
        for grant in grants {
            if !self.accepts(grant) {
                continue;
            }
            let (first, last, fence) = (grant.first, grant.last, grant.fence);
            self.holds.push(Hold { first, last, fence, until_ms });
        }
        self.holds.clone()
    }

    /// Whether the target has seen no higher fencing token on the keys of a grant.
    fn accepts(&mut self, grant: &Grant) -> bool {
        for (key, seen) in SAMPLE_KEYS.iter().zip(&mut self.seen_fences) {
            if !(grant.first..=grant.last).contains(key) {
                continue;
            }
            if grant.fence < *seen {
                return false;
            }
            *seen = grant.fence;
        }
        true
    }

    /// Whether the target may work on a key by a lease that it still has.
    pub fn holds_key(&self, key: u16, now_ms: u64) -> bool {
        let at_work = self.at_work.iter().filter(|it| now_ms < it.1).map(|it| &it.0);
        let mut all = self.holds.iter().chain(at_work);
        all.any(|it| it.contains(key) && now_ms < it.until_ms)
    }
}

impl Hold {
    /// The parts of the hold whose load is measured apart.
    pub fn parts(&self) -> impl Iterator<Item = Self> {
        let hold = *self;
        let parts = (hold.first..=hold.last).step_by(PART_KEYS);
        parts.map(move |first| {
            let last = hold.last.min(first.saturating_add(PART_KEYS as u16 - 1));
            Self { first, last, ..hold }
        })
    }

    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

/// The parts of a hold that no grant covers.
fn uncovered_parts(hold: Hold, grants: &[Grant]) -> Vec<(u16, u16)> {
    let mut sorted: Vec<&Grant> = grants.iter().collect();
    sorted.sort_by_key(|it| it.first);
    let mut parts = Vec::new();
    let mut next = u32::from(hold.first);
    for grant in sorted {
        if grant.last < hold.first || grant.first > hold.last {
            continue;
        }
        if u32::from(grant.first) > next {
            parts.push((next as u16, grant.first - 1));
        }
        next = next.max(u32::from(grant.last) + 1);
    }
    if next <= u32::from(hold.last) {
        parts.push((next as u16, hold.last));
    }
    parts
}
