//! What is known of a request that was at work when targets crashed.

use std::sync::Arc;

use galenastream_utils::BootInstant;

use crate::{CrashRecord, RequestFingerprint, Suspicion};

/// The number of crashes from which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// The number of these that must have come while the request was already suspected.
const REPEATED_CRASHES: usize = 2;

/// The most crashes that are remembered for a request. Those that no longer count are dropped first.
pub(super) const MAX_CRASHES: usize = 8;

/// A request that was at work when targets crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The crashes under it.
    pub crashes: Vec<CrashRecord>,
    /// Method, host and path for operators; empty if unknown.
    pub description: Arc<str>,
    /// Whether it has ever been quarantined. Its record is kept so that no other node takes the
    /// suspicion up again.
    pub was_quarantined: bool,
    /// When anything last changed.
    pub(super) changed_at: BootInstant,
    /// Whether this node tells others about the last change itself.
    pub(super) is_stated: bool,
}

impl Suspect {
    /// Creates a suspect from the crashes that another node or the store knows of.
    pub fn new(
        fingerprint: RequestFingerprint,
        crashes: Vec<CrashRecord>,
        description: impl Into<Arc<str>>,
    ) -> Self {
        Self {
            fingerprint,
            crashes,
            description: description.into(),
            was_quarantined: false,
            changed_at: BootInstant::default(),
            is_stated: false,
        }
    }

    /// How strongly the request is suspected.
    ///
    /// Targets that end at the same moment, as when a rack loses power, end under every request that is
    /// in progress at several of them. So some of the crashes must have come after others were known.
    pub fn suspicion(&self) -> Suspicion {
        let repeated = self.crashes.iter().filter(|it| !it.is_cleared && it.was_suspected).count();
        match self.counted() {
            0 => Suspicion::None,
            QUARANTINE_CRASHES.. if repeated >= REPEATED_CRASHES => Suspicion::Quarantined,
            _ => Suspicion::Suspected,
        }
    }

    /// The number of crashes that count.
    pub fn counted(&self) -> usize {
        self.crashes.iter().filter(|it| !it.is_cleared).count()
    }

    /// Marks the record as changed, so that this node tells others.
    pub(super) const fn state(&mut self, now: BootInstant) {
        self.changed_at = now;
        self.is_stated = true;
    }

    /// Whether every node should have the record, also after its restart: the request is or was in
    /// quarantine, or is close to it.
    pub(super) fn is_shared(&self) -> bool {
        self.was_quarantined || self.counted() >= REPEATED_CRASHES
    }

    /// Takes over crashes that another copy of the record knows. Returns whether this one changes.
    pub(super) fn merge(&mut self, crashes: &[CrashRecord]) -> bool {
        let mut is_changed = false;
        for crash in crashes {
            is_changed |= match self.crashes.iter_mut().find(|it| it.id == crash.id) {
                Some(known) => known.merge(*crash),
                None => self.insert(*crash),
            };
        }
        self.was_quarantined |= self.suspicion() == Suspicion::Quarantined;
        is_changed
    }

    /// Marks all crashes as cleared. Returns whether one counted until now.
    pub(super) fn clear(&mut self) -> bool {
        let is_counted = self.counted() > 0;
        for crash in &mut self.crashes {
            crash.is_cleared = true;
        }
        is_counted
    }

    /// Whether another copy of the record lacks something that this one knows.
    pub(super) fn knows_more_than(&self, crashes: &[CrashRecord]) -> bool {
        self.crashes.iter().any(|known| {
            let other = crashes.iter().find(|it| it.id == known.id);
            known.is_cleared && other.is_some_and(|it| !it.is_cleared)
        })
    }

    /// Adds a crash. At the limit it takes the place of one that no longer counts; if there is none,
    /// the request is quarantined anyway.
    fn insert(&mut self, crash: CrashRecord) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
            return true;
        }
        let Some(replaced) = self.crashes.iter_mut().find(|it| it.is_cleared) else {
            return false;
        };
        if crash.is_cleared {
            return false;
        }
        *replaced = crash;
        true
    }
}
