//! Admission of requests to a target.

use std::time::Duration;

use galenastream_utils::BootInstant;

pub use super::queue::WaitId;
use super::{
    class_service_times::ClassServiceTimes,
    cold_limiter::ColdLimiter,
    queue::{Queue, Waiting},
    rate_limiter::RateLimiter,
};
use crate::{
    AdmissionLimits, AdmissionOutcome, AdmitDecision, Class, ColdPeriod, Deadline, Dequeued,
    Evicted, RequestRate, TargetPace, ToldLoad,
};

/// The share of the slots that are open when a target has just started and is ramped up.
const INITIAL_SHARE_PERCENT: u64 = 25;

/// The number of different `Retry-After` values among which refused requests are spread.
const RETRY_SPREAD_STEPS: u32 = 8;

/// A request that will miss its soft deadline may wait only while the queue is shorter than the
/// number of open slots, divided by this. A queue of that length keeps the target busy while
/// arrivals are uneven.
const LATE_QUEUE_DIVISOR: u32 = 4;

/// The longest burst. A target counts as overloaded for longer if requests that can meet their soft
/// deadlines have taken all of its slots for this time.
const MAX_BURST: Duration = Duration::from_millis(1_000);

/// Admission control for one target: its slots and the short queue in front of them.
///
/// Every request that arrives starts, waits or is shed immediately. The health that the target itself
/// reports has no influence on the decision, and its load only as far as [`TargetPace`] believes it.
#[derive(Debug, Clone)]
pub struct Admission {
    limits: AdmissionLimits,
    target_up_at: BootInstant,
    in_progress: u32,
    queue: Queue,
    next_wait_id: u64,
    shed_count: u32,
    /// When a slot was last left free by the requests that can meet their soft deadlines.
    had_room_at: BootInstant,
    service_times: ClassServiceTimes,
    /// Present while the target announces a request limit.
    rate_limiter: Option<RateLimiter>,
    /// Present while the target is cold.
    cold_limiter: Option<ColdLimiter>,
    pace: TargetPace,
}

impl Admission {
    /// Creates the admission control for a target that started at `target_up_at`.
    pub fn new(limits: AdmissionLimits, target_up_at: BootInstant) -> Self {
        Self {
            limits,
            target_up_at,
            in_progress: 0,
            queue: Queue::default(),
            next_wait_id: 0,
            shed_count: 0,
            had_room_at: target_up_at,
            service_times: ClassServiceTimes::default(),
            rate_limiter: None,
            cold_limiter: None,
            pace: TargetPace::default(),
        }
    }

    /// Decides on a request that arrives, and whose answer keeps its value until the deadline.
    pub fn arrive(
        &mut self,
        now: BootInstant,
        class: Class,
        deadline: Deadline,
    ) -> AdmissionOutcome {
        self.arrive_with_soft_deadline(now, class, deadline, deadline)
    }

    /// Decides on a request that arrives, and whose answer loses most of its value at
    /// `soft_deadline`.
    ///
    /// Load pattern: requests arrive faster than the target can process them. In the order of
    /// arrival, all answers would then miss their soft deadlines. So a request that will miss its
    /// own is refused in favour of those that can meet theirs, unless few requests wait. Short
    /// requests are exempt and have until the deadline: other targets send them while they run a
    /// longer request, and a refusal wastes the work done on it. As long as they have alternatives,
    /// they are refused like others, since another target may be faster.
    pub fn arrive_with_soft_deadline(
        &mut self,
        now: BootInstant,
        class: Class,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> AdmissionOutcome {
        if class.has_alternatives && self.is_too_slow_now(now, class, soft_deadline) {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        }
        if self.queue.len() == 0 && self.in_progress < self.open_slots(now) && self.take_token(now)
        {
            self.in_progress += 1;
            self.had_room_at = now;
            return AdmissionOutcome { decision: AdmitDecision::Start, evicted: None };
        }
        if class.has_alternatives && self.is_closed_by_limit(now) {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        }
        let soft_deadline = self.soft_deadline_in_force(now, class, soft_deadline);
        let due = soft_deadline.min(deadline);
        let is_exempt = !class.has_alternatives && self.service_times.is_short(class);
        let soft_deadline = if is_exempt { deadline } else { due };
        if !self.is_answerable_in_time(now, class, due, soft_deadline, deadline) {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        }
        if self.queue.len() < self.limits.queue_limit as usize {
            return AdmissionOutcome {
                decision: self.enqueue(now, class, due, soft_deadline, deadline),
                evicted: None,
            };
        }
        let Some(lowest) = self.queue.pop_lowest_below(class) else {
            return AdmissionOutcome { decision: self.shed(now), evicted: None };
        };
        let evicted = Evicted { id: lowest.id, retry_after_ms: self.next_retry_after_ms(now) };
        let decision = self.enqueue(now, class, due, soft_deadline, deadline);
        AdmissionOutcome { decision, evicted: Some(evicted) }
    }

    /// Sets the assumed service time of a class while nothing is known of it. Without one, the
    /// first requests to a target would be expected to take no time, and all of them would wait.
    pub fn assume_service_time(&mut self, class: Class, assumed: Duration) {
        self.service_times.assume(class, assumed);
    }

    /// Frees the slot of a request that ended. `service_time` is `None` if the request received no
    /// complete answer; otherwise it is added to the mean of all requests, but not to that of a
    /// class.
    pub fn finish(&mut self, now: BootInstant, service_time: Option<Duration>) -> Dequeued {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.service_times.all.add(service_time);
        }
        self.dequeue(now)
    }

    /// Frees the slot of a request that received a complete answer, and adds its service time to
    /// the means of its class and of all requests.
    pub fn finish_answered(
        &mut self,
        now: BootInstant,
        class: Class,
        service_time: Duration,
    ) -> Dequeued {
        self.service_times.add(class, service_time);
        self.finish(now, Some(service_time))
    }

    /// Records what a response of the target tells of its load.
    pub fn record_told_load(&mut self, now: BootInstant, told: ToldLoad) {
        self.pace.record(told, self.in_progress, now);
    }

    /// Returns whether the target has lately told that it is slow.
    pub fn is_told_slow(&self, now: BootInstant) -> bool {
        self.pace.is_told_slow(now)
    }

    /// Adds the service time of a request that began while the target was said to be slow.
    pub fn add_slow_service_time(&mut self, class: Class, service_time: Duration) {
        self.pace.record_service_time(service_time, self.service_times.mean_of(class));
    }

    /// Starts waiting requests while slots are free, and sheds those that can no longer be answered
    /// in time.
    pub fn dequeue(&mut self, now: BootInstant) -> Dequeued {
        let mut dequeued = Dequeued::default();
        while self.in_progress < self.open_slots(now) && self.token_wait(0, now).is_zero() {
            let times = &self.service_times;
            let is_timely =
                |it: &Waiting| !it.soft_deadline.has_passed(now + times.upper_estimate(it.class));
            let Some(next) = self.queue.pop_first(is_timely) else {
                self.had_room_at = now;
                break;
            };
            if !is_timely(&next) && !self.queue.any(is_timely) {
                self.had_room_at = now;
            }
            if next.until <= now
                || next.deadline.has_passed(now + self.service_times.mean_of(next.class))
            {
                let retry_after_ms = self.next_retry_after_ms(now);
                dequeued.shed.push(Evicted { id: next.id, retry_after_ms });
                continue;
            }
            self.take_token(now);
            self.in_progress += 1;
            dequeued.started.push(next.id);
        }
        dequeued
    }

    /// Sets the request limit that the target announces, or none. Waiting requests start, or are
    /// shed if the limit keeps them from being answered by their soft deadlines.
    ///
    /// Load pattern: a target that takes 500 requests per second announces that it takes 20. Those
    /// that wait would all miss their deadlines.
    pub fn set_request_limit(&mut self, now: BootInstant, limit: Option<RequestRate>) -> Dequeued {
        match (limit, &mut self.rate_limiter) {
            (None, limiter) => *limiter = None,
            (Some(limit), Some(limiter)) => limiter.set_limit(limit, now),
            (Some(limit), limiter) => *limiter = Some(RateLimiter::new(limit, now)),
        }
        self.dequeue_limited(now)
    }

    /// Starts waiting requests, and sheds those that the limits on the rate keep from being answered by
    /// their soft deadlines.
    fn dequeue_limited(&mut self, now: BootInstant) -> Dequeued {
        let mut shed = Vec::new();
        let mut ahead = 0;
        for waiting in self.queue.in_order() {
            let service_time = self.service_times.upper_estimate(waiting.class);
            let answered_at = now + self.token_wait(ahead, now) + service_time;
            let is_limited = !self.token_wait(ahead, now).is_zero();
            if !is_limited || !waiting.soft_deadline.has_passed(answered_at) {
                ahead += 1;
                continue;
            }
            self.queue.remove(waiting.id);
            shed.push(Evicted { id: waiting.id, retry_after_ms: self.next_retry_after_ms(now) });
        }
        let mut dequeued = self.dequeue(now);
        dequeued.shed.append(&mut shed);
        dequeued
    }

    /// Sets the time for which the target is cold, or that it is not. Requests start at the rate that
    /// it bears meanwhile.
    ///
    /// Load pattern: the targets of a data centre return together, cold, while the others are full.
    pub fn set_cold_period(&mut self, now: BootInstant, cold: Option<ColdPeriod>) -> Dequeued {
        match (cold, &mut self.cold_limiter) {
            (None, limiter) => *limiter = None,
            (Some(cold), Some(limiter)) => limiter.set_period(cold, now),
            (Some(cold), limiter) => *limiter = Some(ColdLimiter::new(cold, now)),
        }
        self.dequeue_limited(now)
    }

    /// Returns when [`Self::dequeue`] has to be called because the request limit lets the next
    /// waiting request start. `None` if no request waits for that.
    pub fn next_start_at(&self, now: BootInstant) -> Option<BootInstant> {
        let waits_for_token = self.queue.len() > 0 && self.in_progress < self.open_slots(now);
        (waits_for_token && self.has_request_limit()).then(|| now + self.token_wait(0, now))
    }

    /// Returns whether a request that arrives now would wait for the request limit rather than for
    /// a slot.
    pub fn is_rate_limited(&self, now: BootInstant) -> bool {
        let ahead = self.queue.len();
        self.has_request_limit() && self.token_wait(ahead, now) > self.slot_wait(ahead, now)
    }

    /// Returns whether the rate at which requests start is limited, by what the target announces or
    /// because it is cold.
    pub const fn has_request_limit(&self) -> bool {
        self.rate_limiter.is_some() || self.cold_limiter.is_some()
    }

    /// Removes a waiting request from the queue. Returns `false` if it has started or been shed
    /// already.
    pub fn cancel_wait(&mut self, id: WaitId) -> bool {
        self.queue.remove(id)
    }

    /// Replaces the limits, when new settings come into force. Running and waiting requests
    /// continue.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Restarts the ramp-up for a target that has restarted, and discards the service times
    /// measured so far.
    pub fn restart(&mut self, target_up_at: BootInstant) {
        self.target_up_at = target_up_at;
        self.service_times = ClassServiceTimes::default();
        self.pace = TargetPace::default();
    }

    /// Returns the number of requests that hold slots.
    pub const fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the number of requests that wait.
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the time in milliseconds after which a caller that is refused now may retry: the
    /// expected time to drain the queue, but at least [`AdmissionLimits::retry_after_ms`].
    pub fn retry_after_ms(&self, now: BootInstant) -> u32 {
        let drain_ms = self.expected_wait(now, self.queue.len()).as_millis();
        u32::try_from(drain_ms).unwrap_or(u32::MAX).max(self.limits.retry_after_ms)
    }

    /// Returns whether a request is likely to miss its soft deadline only because the target is slow at
    /// the moment: another one is likely to be faster. One that takes most of its target latency
    /// anyway gains little elsewhere.
    fn is_too_slow_now(&self, now: BootInstant, class: Class, soft_deadline: Deadline) -> bool {
        let slowdown = self.pace.slowdown(now);
        let usual = self.service_times.upper_estimate(class);
        slowdown > 1.0
            && !self.is_tight(class)
            && soft_deadline.has_passed(now + usual.mul_f64(slowdown))
            && !soft_deadline.has_passed(now + self.service_times.mean_of(class))
    }

    /// Returns the soft deadline of a request whose caller may have waited before this attempt.
    ///
    /// Load pattern: refused callers come back, and the time that they expect an answer in counts
    /// from their first attempt. During a burst each attempt gets the full time, since the target
    /// will have room for all before they give up. During longer overload it has not: with the full
    /// time, every other slot would serve a caller who is late already, in place of one who can get
    /// an answer in time.
    fn soft_deadline_in_force(
        &self,
        now: BootInstant,
        class: Class,
        soft_deadline: Deadline,
    ) -> Deadline {
        if now.saturating_since(self.had_room_at) < MAX_BURST {
            return soft_deadline;
        }
        let remaining_ms = soft_deadline.remaining_ms(now).saturating_sub(class.waited_ms);
        Deadline::new(now, remaining_ms)
    }

    fn enqueue(
        &mut self,
        now: BootInstant,
        class: Class,
        due: Deadline,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> AdmitDecision {
        let id = WaitId(self.next_wait_id);
        self.next_wait_id += 1;
        let until =
            (now + self.queue_wait()).min(self.wait_until(now, class, soft_deadline, deadline));
        self.queue.push(Waiting { id, class, due, soft_deadline, deadline, until });
        AdmitDecision::Wait { id, until }
    }

    /// Returns the instant at which a wait ends. A request without a soft deadline of its own waits
    /// until its deadline. One that can meet its soft deadline waits until it no longer can: the
    /// slots are then taken by requests that can. One that will miss it, or that waits among few,
    /// waits until it could not be answered before its deadline, early enough for the caller to
    /// learn that the request has not run.
    fn wait_until(
        &self,
        now: BootInstant,
        class: Class,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> BootInstant {
        if soft_deadline == deadline {
            return deadline.at();
        }
        let (mean, upper_estimate) =
            (self.service_times.mean_of(class), self.service_times.upper_estimate(class));
        let is_queue_short = self.queue.len() < self.late_queue_limit(now);
        match is_queue_short || soft_deadline.has_passed(now + upper_estimate) {
            true => now + deadline.remaining(now).saturating_sub(mean),
            false => now + soft_deadline.remaining(now).saturating_sub(upper_estimate),
        }
    }

    fn shed(&mut self, now: BootInstant) -> AdmitDecision {
        AdmitDecision::Shed { retry_after_ms: self.next_retry_after_ms(now) }
    }

    /// Returns a different value for each of several refused callers in a row, so that they do not
    /// all retry at once.
    fn next_retry_after_ms(&mut self, now: BootInstant) -> u32 {
        self.shed_count = self.shed_count.wrapping_add(1);
        let min_ms = self.retry_after_ms(now);
        let step_ms = min_ms / RETRY_SPREAD_STEPS;
        min_ms.saturating_add(step_ms * (self.shed_count % RETRY_SPREAD_STEPS))
    }

    /// Returns whether a request would be answered in time if it waited: by its soft deadline, or
    /// by its deadline while fewer than [`Self::late_queue_limit`] requests wait.
    fn is_answerable_in_time(
        &self,
        now: BootInstant,
        class: Class,
        due: Deadline,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> bool {
        let ahead = self.queue.count_ahead_of(class, due, soft_deadline, now);
        let wait = self.expected_wait(now, ahead);
        let answered_at = now + wait + self.service_times.mean_of(class);
        if wait > self.queue_wait() || deadline.has_passed(answered_at) {
            return false;
        }
        // Without a soft deadline of its own, the request only has to meet the deadline.
        soft_deadline == deadline
            || !soft_deadline.has_passed(now + wait + self.service_times.upper_estimate(class))
            || self.queue.len() < self.late_queue_limit(now)
    }

    /// Returns whether requests of a class take more than half of their target latency without waiting.
    fn is_tight(&self, class: Class) -> bool {
        let target_latency = Duration::from_millis(u64::from(class.target_latency_ms));
        !target_latency.is_zero() && self.service_times.mean_of(class) * 2 > target_latency
    }

    /// Returns the queue length from which requests that will miss their soft deadlines are shed:
    /// see [`LATE_QUEUE_DIVISOR`]. A request limit counts as the number of slots that it fills.
    fn late_queue_limit(&self, now: BootInstant) -> usize {
        let mean = self.service_times.all.mean();
        let limited_slots = self.rate_limiter.map_or(u32::MAX, |it| it.requests_in(mean) as u32);
        let cold_slots = self.cold_limiter.map_or(u32::MAX, |it| it.requests_in(mean, now) as u32);
        (self.open_slots(now).min(limited_slots).min(cold_slots) / LATE_QUEUE_DIVISOR) as usize
    }

    /// Returns how long a request waits for a slot and for the request limit if `ahead` others
    /// start before it.
    fn expected_wait(&self, now: BootInstant, ahead: usize) -> Duration {
        self.slot_wait(ahead, now).max(self.token_wait(ahead, now))
    }

    fn slot_wait(&self, ahead: usize, now: BootInstant) -> Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.service_times.all.mean().saturating_mul(turns) / self.open_slots(now).max(1)
    }

    fn token_wait(&self, ahead: usize, now: BootInstant) -> Duration {
        let of_limit = self.rate_limiter.map(|it| it.time_until(ahead + 1, now));
        let of_cold = self.cold_limiter.map(|it| it.time_until(ahead + 1, now));
        of_limit.unwrap_or_default().max(of_cold.unwrap_or_default())
    }

    /// Whether a limit close to zero lets no request start now. A request that has alternatives does
    /// not wait for the next one that does.
    fn is_closed_by_limit(&self, now: BootInstant) -> bool {
        self.rate_limiter
            .is_some_and(|it| it.is_close_to_zero() && !it.time_until(1, now).is_zero())
    }

    fn take_token(&mut self, now: BootInstant) -> bool {
        if !self.token_wait(0, now).is_zero() {
            return false;
        }
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.take(now);
        }
        if let Some(limiter) = &mut self.cold_limiter {
            limiter.take(now);
        }
        true
    }

    fn queue_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.limits.queue_wait_ms))
    }

    /// Returns the number of open slots: all of them, or fewer during the ramp-up of the target.
    fn open_slots(&self, now: BootInstant) -> u32 {
        let slots = u64::from(self.limits.slots);
        let up_ms = now.saturating_since(self.target_up_at).as_millis();
        let up_ms = u64::try_from(up_ms).unwrap_or(u64::MAX);
        let ramp_up_ms = u64::from(self.limits.ramp_up_ms);
        if up_ms >= ramp_up_ms {
            return self.limits.slots;
        }
        let share_percent =
            INITIAL_SHARE_PERCENT + (100 - INITIAL_SHARE_PERCENT) * up_ms / ramp_up_ms;
        u32::try_from((slots * share_percent).div_ceil(100)).unwrap_or(u32::MAX)
    }
}
