//! The leases of a target that are granted and taken back by calls.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastMap};

use super::call_schedule::{CallSchedule, renewal_delay};
use super::grant_call::{GrantCall, GrantState};
use super::release_call::{ReleaseCall, ReleaseState};
use super::{CallId, CallOutcome, EndProof, EndedPart, LeaseOrder, PlannedCall};
use crate::{Assignment, KeyRange, LeaseTerms, RangeEntry, TargetIncarnation};

/// The maximum number of grants under way.
const MAX_OPEN_GRANTS: usize = 8;

/// The maximum number of releases under way. Each one lasts as long as the work on its keys.
const MAX_OPEN_RELEASES: usize = 32;

/// The maximum number of calls within [`RATE_WINDOW`].
const MAX_CALLS_PER_WINDOW: usize = 120;

const RATE_WINDOW: Duration = Duration::from_millis(1_000);

/// A renewal that extends a lease by less is not sent.
const MIN_EXTENSION: Duration = Duration::from_millis(250);

/// Number of refusals in a row after which a range needs a higher fencing token. The first one may be
/// due to a row that is replaced already. The write that raises the token fails on such a row.
const FENCE_REFUSALS: u32 = 2;

/// How long the answer to a release is remembered if its keys are not leaving.
const RELEASE_MEMORY: Duration = Duration::from_secs(20);

/// The leases of a target that are granted and taken back by calls, one range a call.
///
/// A lease runs from the arrival of its call. With an answer, that is before the answer; without one,
/// it is before the connection was closed. So the end of every lease is known as soon as its call is
/// over. A grant without an answer may be carried out late, also after a release that was answered.
#[derive(Debug, Clone)]
pub struct CallLeases {
    next_id: u64,
    /// Counts sendings and outcomes, to tell their order.
    order: u64,
    grants: Vec<GrantCall>,
    releases: Vec<ReleaseCall>,
    grant_schedules: FastMap<(KeyRange, u64), CallSchedule>,
    release_schedules: FastMap<(KeyRange, u64), CallSchedule>,
    /// When the calls of the last window were sent.
    sent_at: Vec<BootInstant>,
}

impl CallLeases {
    /// Creates the leases of a target to which this process has granted nothing. Calls get ids from
    /// `first_id` on.
    pub fn new(first_id: CallId) -> Self {
        Self {
            next_id: first_id.0,
            order: 0,
            grants: Vec::new(),
            releases: Vec::new(),
            grant_schedules: FastMap::default(),
            release_schedules: FastMap::default(),
            sent_at: Vec::new(),
        }
    }

    /// Returns the calls that are due, and counts them as sent: the grants and renewals of the keys
    /// that an assignment gives to the target, for `lease` from now on, and the releases of those
    /// that are leaving it. Without a `lease`, nothing is granted.
    pub fn plan(
        &mut self,
        assignment: &Assignment,
        target: &TargetIncarnation,
        lease: Option<Duration>,
        now: BootInstant,
    ) -> Vec<PlannedCall> {
        self.forget(assignment, target, now);
        let mut calls = Vec::new();
        for entry in assignment.leaving(target) {
            calls.extend(self.plan_release(entry, now));
        }
        if let Some(lease) = lease {
            let mut due: Vec<&RangeEntry> = assignment.owned_by(target).collect();
            due.retain(|it| self.schedule(it, now).due_at <= now);
            due.sort_by_key(|it| self.schedule(it, now).due_at);
            for entry in due {
                calls.extend(self.plan_grant(entry, lease, now));
            }
        }
        calls
    }

    /// Records the end of a call. Unknown ids are ignored.
    pub fn record_outcome(
        &mut self,
        id: CallId,
        outcome: CallOutcome,
        terms: LeaseTerms,
        now: BootInstant,
    ) {
        self.order += 1;
        if let Some(index) = self.grants.iter().position(|it| it.id == id) {
            self.end_grant(index, &outcome, terms, now);
            return;
        }
        let Some(release) = self.releases.iter_mut().find(|it| it.id == id) else {
            return;
        };
        let key = (release.range, release.fence);
        let schedule = self.release_schedules.entry(key).or_insert(CallSchedule::due(now));
        match outcome {
            CallOutcome::Done { handover } => release.state = ReleaseState::Done { handover },
            CallOutcome::NoAnswer | CallOutcome::NotSent => {
                release.state = ReleaseState::Unanswered;
                schedule.record_failure(key.0, now);
            }
            CallOutcome::HigherFenceSeen | CallOutcome::Refused => {
                release.state = ReleaseState::Unanswered;
                schedule.record_refusal(now);
            }
        }
    }

    /// Records that the target has denied that it holds a key, by refusing a request for it.
    pub fn record_denial(&mut self, key: u16, now: BootInstant) {
        for grant in &mut self.grants {
            if grant.range.contains(key) && grant.is_accepted() {
                grant.is_denied = true;
            }
        }
        for ((range, _), schedule) in &mut self.grant_schedules {
            if range.contains(key) {
                schedule.record_denial(now);
            }
        }
    }

    /// Returns the ranges that the target holds by its own answers, each with its fencing token and
    /// the instant until which it holds them.
    pub fn held(&self, now: BootInstant) -> Vec<(KeyRange, u64, BootInstant)> {
        let mut held = Vec::new();
        for grant in &self.grants {
            if !grant.is_accepted() || grant.is_denied || grant.held_until() <= now {
                continue;
            }
            let parts = self.kept_parts(grant).into_iter();
            held.extend(parts.map(|it| (it, grant.fence, grant.held_until())));
        }
        held.sort_unstable_by_key(|(range, _, _)| *range);
        held
    }

    /// Returns the parts of a range that the target provably holds no longer at `now`. Leases that
    /// others have granted last until `others_end_at`.
    pub fn ended_parts(
        &self,
        range: KeyRange,
        others_end_at: BootInstant,
        now: BootInstant,
    ) -> Vec<EndedPart> {
        if now < others_end_at {
            return Vec::new();
        }
        let mut ended: Vec<EndedPart> = Vec::new();
        for part in self.uniform_parts(range) {
            let grants = || self.grants.iter().filter(|it| it.range.overlap(part).is_some());
            let may_be_held = |grant: &GrantCall| match grant.state {
                GrantState::Open => true,
                GrantState::Unanswered { ends_at } => now < ends_at,
                GrantState::Accepted { ends_at, order } => {
                    now < ends_at && self.release_since(part, order).is_none()
                }
            };
            if grants().any(may_be_held) {
                continue;
            }
            let last_order = grants().map(|it| it.sent_order).max().unwrap_or(0);
            let release = self.release_since(part, last_order);
            let proof = release.map_or(EndProof::Expired, |_| EndProof::Released);
            let handover = release.and_then(ReleaseCall::handover).unwrap_or_default().to_owned();
            match ended.last_mut() {
                Some(last)
                    if last.range.last.checked_add(1) == Some(part.first)
                        && last.handover == handover
                        && last.proof == proof =>
                {
                    last.range.last = part.last;
                }
                _ => ended.push(EndedPart { range: part, handover, proof }),
            }
        }
        ended
    }

    /// Returns the instant by which every lease has ended that was granted by calls. While a grant is
    /// under way, that is later than `now`.
    pub fn all_end_at(&self, terms: LeaseTerms, now: BootInstant) -> BootInstant {
        let end = |it: &GrantCall| it.ends_at().unwrap_or_else(|| terms.lease_end(now, it.lease));
        self.grants.iter().map(end).max().unwrap_or_default()
    }

    /// Returns the ranges that need a higher fencing token: the target has repeatedly refused theirs.
    pub fn ranges_with_low_fence(&self) -> Vec<(KeyRange, u64)> {
        let schedules = self.grant_schedules.iter();
        let refused = schedules.filter(|it| it.1.fence_refusals >= FENCE_REFUSALS);
        refused.map(|it| *it.0).collect()
    }

    /// Returns whether a grant may have been accepted since an instant.
    pub fn may_have_granted_since(&self, since: BootInstant) -> bool {
        self.grants.iter().any(|it| it.is_open() || it.sent_at >= since)
    }

    fn plan_grant(
        &mut self,
        entry: &RangeEntry,
        lease: Duration,
        now: BootInstant,
    ) -> Option<PlannedCall> {
        let open = || self.grants.iter().filter(|it| it.is_open());
        let is_under_way = open().any(|it| it.range.overlap(entry.range).is_some());
        if is_under_way || open().count() >= MAX_OPEN_GRANTS || !self.has_room(now) {
            return None;
        }
        let is_kept = |grant: &&GrantCall| {
            let parts = self.kept_parts(grant);
            let has_whole = parts.iter().any(|it| it.overlap(entry.range) == Some(entry.range));
            grant.is_accepted() && !grant.is_denied && grant.fence == entry.fence && has_whole
        };
        let held_until = self.grants.iter().filter(is_kept).map(GrantCall::held_until).max();
        if held_until.is_some_and(|it| now + lease < it + MIN_EXTENSION) {
            return None;
        }
        let id = self.send(now);
        self.grants.push(GrantCall {
            id,
            range: entry.range,
            fence: entry.fence,
            lease,
            sent_at: now,
            sent_order: self.order,
            state: GrantState::Open,
            is_denied: false,
        });
        let order = LeaseOrder::Grant {
            range: entry.range,
            fence: entry.fence,
            handover: entry.handover.clone(),
            lease,
        };
        Some(PlannedCall { id, order, is_renewal: held_until.is_some() })
    }

    fn plan_release(&mut self, entry: &RangeEntry, now: BootInstant) -> Option<PlannedCall> {
        let (range, fence) = (entry.range, entry.fence);
        let last_grant = self.grants.iter().filter(|it| it.range.overlap(range).is_some());
        let last_order = last_grant.map(|it| it.sent_order).max().unwrap_or(0);
        let is_sent = |it: &&ReleaseCall| {
            it.sent_order > last_order && !matches!(it.state, ReleaseState::Unanswered)
        };
        let mut missing = vec![range];
        for release in self.releases.iter().filter(is_sent) {
            missing = without(&missing, release.range);
        }
        let is_due = self.release_schedules.get(&(range, fence)).is_none_or(|it| it.due_at <= now);
        let open_count = self.releases.iter().filter(|it| it.is_open()).count();
        if missing.is_empty() || !is_due || open_count >= MAX_OPEN_RELEASES || !self.has_room(now) {
            return None;
        }
        let id = self.send(now);
        let (sent_order, state) = (self.order, ReleaseState::Open);
        self.releases.push(ReleaseCall { id, range, fence, sent_at: now, sent_order, state });
        let order = LeaseOrder::Release { range, fence };
        Some(PlannedCall { id, order, is_renewal: false })
    }

    /// When the next grant of an entry is due. One whose keys were granted as parts of other entries
    /// is due when the first of those grants would have been renewed.
    fn schedule(&self, entry: &RangeEntry, now: BootInstant) -> CallSchedule {
        if let Some(schedule) = self.grant_schedules.get(&(entry.range, entry.fence)) {
            return *schedule;
        }
        let mut missing = vec![entry.range];
        let mut due_at: Option<BootInstant> = None;
        for grant in &self.grants {
            let is_held = grant.is_accepted() && !grant.is_denied && now < grant.held_until();
            if !is_held || grant.fence != entry.fence || grant.range.overlap(entry.range).is_none()
            {
                continue;
            }
            for part in self.kept_parts(grant) {
                missing = without(&missing, part);
            }
            let renewed_at = grant.sent_at + renewal_delay(grant.range, grant.lease);
            due_at = Some(due_at.map_or(renewed_at, |it| it.min(renewed_at)));
        }
        match due_at {
            Some(due_at) if missing.is_empty() => CallSchedule::due(due_at),
            _ => CallSchedule::due(now),
        }
    }

    fn end_grant(
        &mut self,
        index: usize,
        outcome: &CallOutcome,
        terms: LeaseTerms,
        now: BootInstant,
    ) {
        let order = self.order;
        let grant = &mut self.grants[index];
        let ended = *grant;
        let ends_at = terms.lease_end(now, ended.lease);
        let key = (ended.range, ended.fence);
        let schedule = self.grant_schedules.entry(key).or_insert(CallSchedule::due(now));
        match outcome {
            CallOutcome::Done { .. } => {
                grant.state = GrantState::Accepted { ends_at, order };
                schedule.record_accepted(ended.range, ended.sent_at, ended.lease);
                // An accepted grant outlasts those before it on the same keys.
                self.grants.retain(|it| {
                    let is_earlier = it.is_accepted() && it.id != ended.id;
                    let is_outlasted = it.ends_at().is_some_and(|it| it <= ends_at);
                    let is_inside = it.range.overlap(ended.range) == Some(it.range);
                    !(is_earlier && is_outlasted && is_inside)
                });
            }
            CallOutcome::NoAnswer => {
                grant.state = GrantState::Unanswered { ends_at };
                schedule.record_failure(ended.range, now);
            }
            CallOutcome::NotSent => {
                schedule.record_failure(ended.range, now);
                self.grants.swap_remove(index);
            }
            CallOutcome::HigherFenceSeen => {
                schedule.record_fence_refusal(now);
                self.grants.swap_remove(index);
                for earlier in &mut self.grants {
                    let is_same = earlier.range.overlap(ended.range).is_some();
                    earlier.is_denied |= is_same && earlier.fence <= ended.fence;
                }
            }
            CallOutcome::Refused => {
                schedule.record_refusal(now);
                self.grants.swap_remove(index);
            }
        }
    }

    /// Forgets leases that have ended, and what concerns keys that the target neither owns nor is to
    /// release.
    fn forget(&mut self, assignment: &Assignment, target: &TargetIncarnation, now: BootInstant) {
        self.grants.retain(|it| it.ends_at().is_none_or(|it| now < it));
        let leaving: Vec<(KeyRange, u64)> =
            assignment.leaving(target).map(|it| (it.range, it.fence)).collect();
        let owned: Vec<(KeyRange, u64)> =
            assignment.owned_by(target).map(|it| (it.range, it.fence)).collect();
        self.releases.retain(|release| {
            let is_leaving = leaving.iter().any(|it| it.0.overlap(release.range).is_some());
            let is_recent = now.saturating_since(release.sent_at) < RELEASE_MEMORY;
            release.is_open() || is_leaving || is_recent
        });
        self.grant_schedules.retain(|key, _| owned.contains(key));
        self.release_schedules.retain(|key, _| leaving.contains(key));
        self.sent_at.retain(|it| now.saturating_since(*it) < RATE_WINDOW);
    }

    fn has_room(&self, now: BootInstant) -> bool {
        let is_recent = |it: &&BootInstant| now.saturating_since(**it) < RATE_WINDOW;
        self.sent_at.iter().filter(is_recent).count() < MAX_CALLS_PER_WINDOW
    }

    fn send(&mut self, now: BootInstant) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.order += 1;
        self.sent_at.push(now);
        id
    }

    /// The parts of a grant whose release was not sent since.
    fn kept_parts(&self, grant: &GrantCall) -> Vec<KeyRange> {
        let mut parts = vec![grant.range];
        for release in &self.releases {
            if release.sent_order > grant.sent_order {
                parts = without(&parts, release.range);
            }
        }
        parts
    }

    /// The newest answered release of a whole range that was sent after `order`.
    fn release_since(&self, range: KeyRange, order: u64) -> Option<&ReleaseCall> {
        let mut releases = self.releases.iter().rev();
        releases.find(|it| {
            it.sent_order > order
                && it.handover().is_some()
                && it.range.overlap(range) == Some(range)
        })
    }

    /// The parts of a range in which no grant and no release begins or ends.
    fn uniform_parts(&self, range: KeyRange) -> Vec<KeyRange> {
        let calls = self.grants.iter().map(|it| it.range);
        let calls = calls.chain(self.releases.iter().map(|it| it.range));
        let mut starts = vec![range.first];
        for call in calls {
            let bounds = [Some(call.first), call.last.checked_add(1)];
            starts.extend(bounds.into_iter().flatten().filter(|it| range.contains(*it)));
        }
        starts.sort_unstable();
        starts.dedup();
        let mut parts = Vec::with_capacity(starts.len());
        for (index, first) in starts.iter().enumerate() {
            let last = starts.get(index + 1).map_or(range.last, |it| it - 1);
            parts.push(KeyRange { first: *first, last });
        }
        parts
    }
}

/// The parts of ranges that another range does not contain.
fn without(ranges: &[KeyRange], other: KeyRange) -> Vec<KeyRange> {
    ranges.iter().flat_map(|it| it.without(other)).flatten().collect()
}
