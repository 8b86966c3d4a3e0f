//! When the next beat is due, and to whom it goes.

use std::time::Duration;

use crate::{BootInstant, Member, VmId};

/// How long a beat may stay unanswered before the node looks for another coordinator.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);

/// Shortest interval between two beats, whatever asks for one.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(5);

/// How long a node looks for a coordinator at the shorter interval.
const EAGER_SEARCH: Duration = Duration::from_secs(3);

/// When the next beat is due, and to whom it goes.
#[derive(Debug)]
pub(crate) struct BeatSchedule {
    interval: Duration,
    sent_at: Option<BootInstant>,
    answered: bool,
    due_at: BootInstant,
    hastened: bool,
    unanswered_since: Option<BootInstant>,
    answerer: Option<VmId>,
}

impl BeatSchedule {
    pub(crate) fn new(now: BootInstant, interval: Duration) -> Self {
        Self {
            interval,
            sent_at: None,
            answered: true,
            due_at: now,
            hastened: false,
            unanswered_since: None,
            answerer: None,
        }
    }

    /// When the next beat is due.
    pub(crate) fn due_at(&self) -> BootInstant {
        self.due_at
    }

    /// Wants a beat as soon as possible.
    pub(crate) fn hasten(&mut self, now: BootInstant) {
        let earliest = self.sent_at.map_or(now, |it| it + SHORTEST_INTERVAL);
        self.due_at = self.due_at.min(earliest.max(now));
        self.hastened = true;
    }

    /// Wants a beat to this VM as soon as possible.
    pub(crate) fn hasten_to(&mut self, now: BootInstant, vm: VmId) {
        self.answerer = Some(vm);
        self.hasten(now);
    }

    /// Records that a beat was sent.
    pub(crate) fn sent(&mut self, now: BootInstant) {
        let since = *self.unanswered_since.get_or_insert(now);
        let searches = now.saturating_since(since) < EAGER_SEARCH;
        let interval = if searches { self.interval.min(ANSWER_LIMIT) } else { self.interval };
        self.sent_at = Some(now);
        self.answered = false;
        self.hastened = false;
        self.due_at = now + interval;
    }

    /// Records that the last beat was answered by a VM that grants.
    pub(crate) fn answered(&mut self, by: VmId) {
        self.answered = true;
        self.unanswered_since = None;
        self.answerer = Some(by);
        let Some(sent_at) = self.sent_at else {
            return;
        };
        if !self.hastened {
            self.due_at = sent_at + self.interval;
        }
    }

    /// Changes the interval of answered beats.
    pub(crate) fn set_interval(&mut self, interval: Duration) {
        if interval == self.interval {
            return;
        }
        self.interval = interval;
        if let Some(sent_at) = self.sent_at {
            self.due_at = self.due_at.min(sent_at + interval);
        }
    }

    /// The receivers of the next beat: who answered last, or all who may know the coordinator.
    pub(crate) fn receivers(
        &self,
        coordinator: Option<Member>,
        witnesses: impl Iterator<Item = Member>,
    ) -> Vec<VmId> {
        let mut receivers: Vec<_> = coordinator.map(|it| it.vm).into_iter().collect();
        receivers.extend(self.answerer);
        if !self.answered || receivers.is_empty() {
            receivers.extend(witnesses.map(|it| it.vm));
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }
}
