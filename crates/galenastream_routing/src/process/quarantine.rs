//! Requests that are suspected of crashing the targets that run them, and those that are refused for
//! it.
//!
//! Load pattern: a request crashes each target that begins to run it, and its caller repeats it at any
//! node. Beside it, every target runs innocent requests, some of them the same popular one at many
//! targets at once; targets also crash for reasons of their own, a whole rack of them at one moment.
//!
//! A crash counts against all requests that were at work at the target. What separates the guilty one
//! from the others is that no target ever answers it: one answer clears a request of all its crashes,
//! also an answer of the seconds before, since a popular request is answered all the time. A request
//! that is suspected runs at one target at a time, so that it cannot crash several at once.
//!
//! Nodes exchange the records of suspects and join them. Everything in a record only ever grows, so
//! that copies that were lost, repeated or late do no harm.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastMap};

use super::recent_answers::RecentAnswers;
use crate::{CrashId, CrashRecord, LostRun, RequestFingerprint, Suspect, Suspicion};

/// The most suspects that are remembered. Beyond it, those with the fewest crashes are forgotten first,
/// the oldest of them at first.
const MAX_SUSPECTS: usize = 4_096;

/// The most records that nodes which lack them get, and that are written to the store.
pub const MAX_SHARED: usize = 64;

/// The most records in one statement to other nodes.
pub const MAX_STATED: usize = 64;

/// The most requests that one crash counts against.
const MAX_SUSPECTS_OF_CRASH: usize = 64;

/// How long a change is stated to other nodes. Statuses are sent every second, and some are lost.
const STATED_FOR: Duration = Duration::from_millis(5_000);

/// How long a request is remembered that is cleared of all crashes. Reports of them may be late.
const CLEARED_PERIOD: Duration = Duration::from_secs(60);

/// The connections to a target that ends close together. Those that were lost earlier than this
/// before the last one were lost for another reason.
const CLOSED_TOGETHER: Duration = Duration::from_millis(500);

/// How long a lost run may become a suspect: until the end of the target is noticed.
const LOST_RUN_PERIOD: Duration = Duration::from_millis(10_000);

/// The requests that are suspected of crashing targets, and those that are refused for it.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FastMap<RequestFingerprint, Suspect>,
    answers: RecentAnswers,
    lost_runs: Vec<LostRun>,
    crash_count: u64,
    /// Counts the changes of records.
    version: u64,
    /// When a record last changed that this node tells others.
    stated_at: BootInstant,
    summary: Summary,
}

/// A summary of the records that every node should have.
#[derive(Debug, Clone, Copy, Default)]
struct Summary {
    digest: u64,
    quarantined_count: usize,
}

/// What a record contributes to the [`Summary`].
#[derive(Debug, Clone, Copy, Default)]
struct SummaryPart {
    digest: u64,
    is_quarantined: bool,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// How strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.suspects.get(&fingerprint).map_or(Suspicion::None, Suspect::suspicion)
    }

    /// The record of a request, if there is one.
    pub fn suspect(&self, fingerprint: RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(&fingerprint)
    }

    /// Records that a target has answered a request. Returns the crashes that counted against it until
    /// now.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint, now: BootInstant) -> usize {
        self.answers.record(fingerprint, now);
        let counted = self.suspects.get(&fingerprint).map_or(0, Suspect::counted);
        self.release(fingerprint, now);
        counted
    }

    /// Records a run whose connection broke, in case that the target turns out to have ended.
    pub fn record_lost_run(&mut self, run: LostRun) {
        self.lost_runs.retain(|it| run.lost_at.saturating_since(it.lost_at) < LOST_RUN_PERIOD);
        if self.lost_runs.len() >= MAX_SUSPECTS_OF_CRASH {
            self.lost_runs.remove(0);
        }
        self.lost_runs.push(run);
    }

    /// Records that a target has ended without having announced it. The runs that were lost there
    /// together become suspects, which are returned.
    pub fn record_crash(&mut self, crash: CrashId, now: BootInstant) -> Vec<LostRun> {
        let last_lost_at =
            self.lost_runs.iter().filter(|it| it.crash == crash).map(|it| it.lost_at).max();
        let Some(last_lost_at) = last_lost_at else {
            return Vec::new();
        };
        let (ended, others) =
            std::mem::take(&mut self.lost_runs).into_iter().partition(|it| it.crash == crash);
        self.lost_runs = others;
        let mut runs: Vec<LostRun> = ended;
        runs.retain(|it| last_lost_at.saturating_since(it.lost_at) <= CLOSED_TOGETHER);
        for run in &runs {
            let record = CrashRecord {
                id: crash,
                was_suspected: run.was_suspected,
                is_cleared: self.answers.contains(run.fingerprint, now),
            };
            let before = self.summary_part(run.fingerprint);
            let suspect = self.entry(run.fingerprint, now);
            if suspect.description.is_empty() {
                suspect.description = run.description.clone();
            }
            if suspect.merge(&[record]) {
                suspect.state(now);
                self.record_change(run.fingerprint, before, now);
            }
        }
        self.crash_count += 1;
        self.forget_cleared(now);
        runs
    }

    /// Takes over what another node or the store knows of a request. Returns whether that changes how
    /// strongly it is suspected.
    pub fn merge(&mut self, other: &Suspect, now: BootInstant) -> bool {
        let fingerprint = other.fingerprint;
        let (suspicion, before) = (self.suspicion(fingerprint), self.summary_part(fingerprint));
        let is_answered = self.answers.contains(fingerprint, now);
        let suspect = self.entry(fingerprint, now);
        let is_named = suspect.description.is_empty() && !other.description.is_empty();
        if is_named {
            suspect.description = other.description.clone();
        }
        let is_changed = suspect.merge(&other.crashes);
        // A record that is joined with a release of the store names no quarantine of its own.
        suspect.was_quarantined |= other.was_quarantined;
        if is_changed {
            suspect.changed_at = now;
            suspect.is_stated = suspect.counted() > 1;
        }
        let is_cleared = is_answered && suspect.clear();
        let is_ahead = suspect.knows_more_than(&other.crashes);
        if is_cleared || is_ahead {
            suspect.state(now);
        }
        let is_other = suspect.suspicion() != suspicion;
        if is_changed || is_named || is_cleared || is_ahead {
            self.record_change(fingerprint, before, now);
        }
        is_other
    }

    /// Clears a request of all crashes that are known. Returns whether any counted.
    pub fn release(&mut self, fingerprint: RequestFingerprint, now: BootInstant) -> bool {
        let before = self.summary_part(fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        if !suspect.clear() {
            return false;
        }
        suspect.state(now);
        self.record_change(fingerprint, before, now);
        true
    }

    /// The records that have changed lately and that this node tells all others, newest first.
    pub fn stated(&self, now: BootInstant) -> Vec<&Suspect> {
        if now.saturating_since(self.stated_at) >= STATED_FOR {
            return Vec::new();
        }
        let is_recent =
            |it: &&Suspect| it.is_stated && now.saturating_since(it.changed_at) < STATED_FOR;
        newest(self.suspects.values().filter(is_recent), MAX_STATED)
    }

    /// The records that every node should have, newest first: of requests that are or were in
    /// quarantine, or are close to it.
    pub fn shared(&self) -> Vec<&Suspect> {
        newest(self.suspects.values().filter(|it| it.is_shared()), MAX_SHARED)
    }

    /// A digest of these requests and the number of crashes that count against each. Nodes with the
    /// same digest refuse the same requests.
    pub const fn digest(&self) -> u64 {
        self.summary.digest
    }

    /// The number of requests in quarantine.
    pub const fn quarantined_count(&self) -> usize {
        self.summary.quarantined_count
    }

    /// Counts the changes of records.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The number of crashes under requests that this node has seen at its own target.
    pub const fn crash_count(&self) -> u64 {
        self.crash_count
    }

    /// Records that what is known of a request has changed. `before` is what its record contributed to
    /// the summary.
    fn record_change(
        &mut self,
        fingerprint: RequestFingerprint,
        before: SummaryPart,
        now: BootInstant,
    ) {
        self.version += 1;
        self.stated_at = now;
        let after = self.summary_part(fingerprint);
        self.summary.digest ^= before.digest ^ after.digest;
        self.summary.quarantined_count += usize::from(after.is_quarantined);
        self.summary.quarantined_count -= usize::from(before.is_quarantined);
    }

    fn summary_part(&self, fingerprint: RequestFingerprint) -> SummaryPart {
        let Some(suspect) = self.suspects.get(&fingerprint).filter(|it| it.counted() > 0) else {
            return SummaryPart::default();
        };
        let digest = match suspect.is_shared() {
            true => fingerprint.short_hash().rotate_left(suspect.counted() as u32),
            false => 0,
        };
        let is_quarantined = suspect.suspicion() == Suspicion::Quarantined;
        SummaryPart { digest, is_quarantined }
    }

    fn entry(&mut self, fingerprint: RequestFingerprint, now: BootInstant) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.forget_least();
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            changed_at: now,
            ..Suspect::new(fingerprint, Vec::new(), "")
        })
    }

    /// Forgets requests that are cleared of all crashes, once all other nodes have heard of it.
    fn forget_cleared(&mut self, now: BootInstant) {
        self.suspects.retain(|_, it| {
            let is_settled = now.saturating_since(it.changed_at) >= CLEARED_PERIOD;
            it.counted() > 0 || it.was_quarantined || !is_settled
        });
    }

    /// Forgets the suspect with the fewest crashes, and the oldest of these.
    fn forget_least(&mut self) {
        let rank = |it: &Suspect| (it.suspicion(), it.was_quarantined, it.counted(), it.changed_at);
        let least = self.suspects.values().min_by_key(|it| rank(it)).map(|it| it.fingerprint);
        let Some(fingerprint) = least else {
            return;
        };
        let before = self.summary_part(fingerprint);
        self.suspects.remove(&fingerprint);
        self.record_change(fingerprint, before, self.stated_at);
    }
}

/// Sorts records by their last change, the newest first, and keeps those at the front.
fn newest<'a>(records: impl Iterator<Item = &'a Suspect>, max: usize) -> Vec<&'a Suspect> {
    let mut records: Vec<&Suspect> = records.collect();
    records.sort_by_key(|it| (std::cmp::Reverse(it.changed_at), it.fingerprint));
    records.truncate(max);
    records
}
