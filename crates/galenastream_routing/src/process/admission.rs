//! Admission of requests to a target.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastMap};

pub use super::queue::WaitId;
use super::queue::{Queue, Waiting};
use crate::{Class, Deadline, ServiceTime};

/// Share of its slots that a cold target starts with, in hundredths.
const COLD_SHARE_PERCENT: u64 = 25;

/// In how many steps the refused requests are spread over the time after which they come back.
const RETRY_SPREAD_STEPS: u32 = 8;

/// One in this many slots: how many requests may wait before one that can only be answered late is
/// refused. Enough to keep the target busy while arrivals are uneven.
const LATE_WAITERS_DIVISOR: u32 = 4;

/// A request is short if it takes at most one in this many of the longest class's service time:
/// refusing one frees next to nothing, and often fails a longer request that it is a part of.
const SHORT_DIVISOR: u32 = 8;

/// The room that a target has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Requests that wait for a slot at most.
    pub queue_limit: u32,
    /// How long a request waits for a slot at most.
    pub queue_wait_ms: u32,
    /// The least time after which a refused caller shall come back.
    pub retry_after_ms: u32,
    /// How long a cold target takes until it has all its slots.
    pub ramp_up_ms: u32,
}

/// Admission of requests to one target: its slots and the short queue in front of them.
///
/// Every request that arrives either starts, waits or is shed at once. What the target's own health
/// and load endpoints say has no part in it.
#[derive(Debug, Clone)]
pub struct Admission {
    limits: AdmissionLimits,
    target_up_at: BootInstant,
    in_progress: u32,
    queue: Queue,
    next_wait: u64,
    sheds: u32,
    times: ClassTimes,
}

/// Mean service times of all requests together and of each class.
#[derive(Debug, Clone, Default)]
struct ClassTimes {
    all: ServiceTime,
    by_class: FastMap<u16, ServiceTime>,
}

impl ClassTimes {
    /// Whether requests of a class are short beside those of another one.
    fn is_short(&self, class: Class) -> bool {
        let longest = self.by_class.values().map(|it| it.mean()).max().unwrap_or_default();
        self.by_class.get(&class.index).is_some_and(|it| it.mean() * SHORT_DIVISOR <= longest)
    }

    /// What most requests of a class take no longer than. Where more arrives than can be served,
    /// those that are served are the ones that could just be prompt: by the mean, half of them would
    /// come late.
    fn upper_of(&self, class: Class) -> Duration {
        self.by_class.get(&class.index).map_or(self.all.upper(), |it| it.upper())
    }

    /// The mean of a class, or of all classes until it is known.
    fn mean_of(&self, class: Class) -> Duration {
        self.by_class.get(&class.index).map_or(self.all.mean(), |it| it.mean())
    }
}

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitDecision {
    /// It takes a slot now. Report its end by [`Admission::finish`].
    Start,
    /// It waits. If it is not woken by `until`, it is to be taken out by [`Admission::cancel_wait`].
    Wait {
        /// Names it.
        id: WaitId,
        /// When waiting for longer is of no use.
        until: BootInstant,
    },
    /// It is refused now.
    Shed {
        /// When to come back.
        retry_after_ms: u32,
    },
}

/// What an arrival does to the request itself and to another one that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// What happens to the request.
    pub decision: AdmitDecision,
    /// A waiting request of a lower class that is shed in its favour.
    pub evicted: Option<Evicted>,
}

/// A waiting request that is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evicted {
    /// The request.
    pub id: WaitId,
    /// When to come back.
    pub retry_after_ms: u32,
}

/// What becomes of waiting requests when a slot is free.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dequeued {
    /// These take slots now.
    pub started: Vec<WaitId>,
    /// These could no longer meet their deadlines and are shed.
    pub shed: Vec<Evicted>,
}

impl Admission {
    /// Creates the admission to a target that came up at `target_up_at`.
    pub fn new(limits: AdmissionLimits, target_up_at: BootInstant) -> Self {
        Self {
            limits,
            target_up_at,
            in_progress: 0,
            queue: Queue::default(),
            next_wait: 0,
            sheds: 0,
            times: ClassTimes::default(),
        }
    }

    /// Decides on a request that arrives and whose answer keeps its worth until the deadline.
    pub fn arrive(
        &mut self,
        now: BootInstant,
        class: Class,
        deadline: Deadline,
    ) -> AdmissionOutcome {
        self.arrive_with_soft_deadline(now, class, deadline, deadline)
    }

    /// Decides on a request that arrives and whose answer loses most of its worth at `prompt`.
    ///
    /// Load pattern: more arrives than the target can work on. In the order of arrival every answer
    /// would then come late; so what could not be prompt any more is refused while other requests
    /// still can be. Requests that other targets send while they run one are short; a refusal
    /// wastes what the other target has done, so these may come late.
    pub fn arrive_with_soft_deadline(
        &mut self,
        now: BootInstant,
        class: Class,
        prompt: Deadline,
        deadline: Deadline,
    ) -> AdmissionOutcome {
        if self.queue.len() == 0 && self.in_progress < self.open_slots(now) {
            self.in_progress += 1;
            return AdmissionOutcome { decision: AdmitDecision::Start, evicted: None };
        }
        let due = prompt.min(deadline);
        let prompt = if self.times.is_short(class) { deadline } else { due };
        if !self.is_worth_waiting(now, class, due, prompt, deadline) {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        }
        if self.queue.len() < self.limits.queue_limit as usize {
            return AdmissionOutcome {
                decision: self.wait(now, class, due, prompt, deadline),
                evicted: None,
            };
        }
        let Some(lowest) = self.queue.pop_lowest_below(class) else {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        };
        let evicted = Evicted { id: lowest.id, retry_after_ms: self.next_retry_after_ms(now) };
        let decision = self.wait(now, class, due, prompt, deadline);
        AdmissionOutcome { decision, evicted: Some(evicted) }
    }

    /// Takes a guess for the service time of a class of which nothing was measured yet. Without one
    /// the first requests to a target would seem to take no time, and all of them would wait.
    pub fn assume_service_time(&mut self, class: Class, guess: Duration) {
        self.times.by_class.entry(class.index).or_insert_with(|| ServiceTime::new(guess));
        if self.times.all.mean().is_zero() {
            self.times.all = ServiceTime::new(guess);
        }
    }

    /// Frees the slot of a request that ended, without a whole answer or of a class whose service
    /// time is not kept apart.
    pub fn finish(&mut self, now: BootInstant, service_time: Option<Duration>) -> Dequeued {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.times.all.add(service_time);
        }
        self.dequeue(now)
    }

    /// Frees the slot of a request of a class that got a whole answer.
    pub fn finish_answered(
        &mut self,
        now: BootInstant,
        class: Class,
        service_time: Duration,
    ) -> Dequeued {
        self.times.by_class.entry(class.index).or_default().add(service_time);
        self.finish(now, Some(service_time))
    }

    /// Starts waiting requests for which there are slots.
    pub fn dequeue(&mut self, now: BootInstant) -> Dequeued {
        let mut dequeued = Dequeued::default();
        while self.in_progress < self.open_slots(now) {
            let times = &self.times;
            let is_prompt = |it: &Waiting| !it.prompt.has_passed(now + times.upper_of(it.class));
            let Some(next) = self.queue.pop_first(is_prompt) else {
                break;
            };
            if next.until <= now || next.deadline.has_passed(now + self.times.mean_of(next.class)) {
                let retry_after_ms = self.next_retry_after_ms(now);
                dequeued.shed.push(Evicted { id: next.id, retry_after_ms });
                continue;
            }
            self.in_progress += 1;
            dequeued.started.push(next.id);
        }
        dequeued
    }

    /// Takes a waiting request out. Returns false if it was woken or evicted before.
    pub fn cancel_wait(&mut self, id: WaitId) -> bool {
        self.queue.remove(id)
    }

    /// Changes the room, when a new settings version comes into force.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Starts the ramp of a target that came up anew.
    pub fn restart(&mut self, target_up_at: BootInstant) {
        self.target_up_at = target_up_at;
        self.times = ClassTimes::default();
    }

    /// Requests that hold slots.
    pub const fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Requests that wait.
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// When a caller that is refused now shall come back.
    pub fn retry_after_ms(&self, now: BootInstant) -> u32 {
        let drain_ms = self.expected_wait(now, self.queue.len()).as_millis();
        u32::try_from(drain_ms).unwrap_or(u32::MAX).max(self.limits.retry_after_ms)
    }

    fn wait(
        &mut self,
        now: BootInstant,
        class: Class,
        due: Deadline,
        prompt: Deadline,
        deadline: Deadline,
    ) -> AdmitDecision {
        let id = WaitId(self.next_wait);
        self.next_wait += 1;
        let until = (now + self.queue_wait()).min(self.useful_until(now, class, prompt, deadline));
        self.queue.push(Waiting { id, class, due, prompt, deadline, until });
        AdmitDecision::Wait { id, until }
    }

    /// Until when waiting is of use. A request that can be prompt gives up when it can be no longer:
    /// what keeps it from its slot are others that can. One that is late gives up when it could not
    /// be answered before its deadline, early enough to be told that it has not run.
    fn useful_until(
        &self,
        now: BootInstant,
        class: Class,
        prompt: Deadline,
        deadline: Deadline,
    ) -> BootInstant {
        if prompt == deadline {
            return deadline.at();
        }
        let (mean, upper) = (self.times.mean_of(class), self.times.upper_of(class));
        match prompt.has_passed(now + upper) {
            true => now + deadline.remaining(now).saturating_sub(mean),
            false => now + prompt.remaining(now).saturating_sub(upper),
        }
    }

    fn shed(&mut self, now: BootInstant) -> AdmitDecision {
        AdmitDecision::Shed { retry_after_ms: self.next_retry_after_ms(now) }
    }

    /// Spreads the refused callers, so that they do not come back all at once.
    fn next_retry_after_ms(&mut self, now: BootInstant) -> u32 {
        self.sheds = self.sheds.wrapping_add(1);
        let least_ms = self.retry_after_ms(now);
        let step_ms = least_ms / RETRY_SPREAD_STEPS;
        least_ms + step_ms * (self.sheds % RETRY_SPREAD_STEPS)
    }

    /// Whether a request would be answered in time if it waited: promptly, or at all if nothing
    /// that could be prompt has to wait for it.
    fn is_worth_waiting(
        &self,
        now: BootInstant,
        class: Class,
        due: Deadline,
        prompt: Deadline,
        deadline: Deadline,
    ) -> bool {
        let ahead = self.queue.count_ahead_of(class, due, prompt, now);
        let wait = self.expected_wait(now, ahead);
        let answered_at = now + wait + self.times.mean_of(class);
        if wait > self.queue_wait() || deadline.has_passed(answered_at) {
            return false;
        }
        // Whose answer keeps its worth until the deadline may as well try.
        prompt == deadline
            || !prompt.has_passed(now + wait + self.times.upper_of(class))
            || self.queue.len() < self.late_limit(now)
    }

    /// How many requests wait at most for one more to join them that can only be answered late.
    fn late_limit(&self, now: BootInstant) -> usize {
        (self.open_slots(now) / LATE_WAITERS_DIVISOR) as usize
    }

    fn expected_wait(&self, now: BootInstant, ahead: usize) -> Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.times.all.mean().saturating_mul(turns) / self.open_slots(now).max(1)
    }

    fn queue_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.limits.queue_wait_ms))
    }

    /// The slots that are open: all of them, or fewer while the target is cold.
    fn open_slots(&self, now: BootInstant) -> u32 {
        let slots = u64::from(self.limits.slots);
        let up_ms = now.saturating_since(self.target_up_at).as_millis();
        let up_ms = u64::try_from(up_ms).unwrap_or(u64::MAX);
        let ramp_up_ms = u64::from(self.limits.ramp_up_ms);
        if up_ms >= ramp_up_ms {
            return self.limits.slots;
        }
        let share_percent = COLD_SHARE_PERCENT + (100 - COLD_SHARE_PERCENT) * up_ms / ramp_up_ms;
        u32::try_from((slots * share_percent).div_ceil(100)).unwrap_or(u32::MAX)
    }
}
