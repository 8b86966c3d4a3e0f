//! Admission control for the target beside this node.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, ColdPeriod, Deadline, Dequeued, Evicted,
    RequestRate, ToldLoad, WaitId,
};
use galenastream_utils::{BootInstant, FastMap};
use tokio::sync::{Notify, oneshot};

use crate::{boot_now, sleep_until};

/// Admission control for the target beside this node, shared by all requests to it.
///
/// Wraps [`Admission`] for concurrent use: a request that has to wait is a future that ends with a
/// [`Slot`] or is shed.
#[derive(Debug)]
pub struct AdmissionController {
    state: Mutex<ControllerState>,
    /// Notified when [`AdmissionController::run_request_limit`] has to look for the next start.
    next_start_changed: Notify,
}

#[derive(Debug)]
struct ControllerState {
    admission: Admission,
    waiting: FastMap<WaitId, oneshot::Sender<WaitOutcome>>,
    /// Whether a timer runs for the next start that the request limit allows.
    has_timer: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitOutcome {
    Start,
    Shed(NotAdmitted),
}

/// A slot of the target that a request occupies. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot<'a> {
    controller: &'a AdmissionController,
    class: Class,
    began_at: Instant,
    /// Whether the target was said to be slow when the request began.
    began_slow: bool,
    service_time: Option<Duration>,
}

/// What would be decided on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionPreview {
    /// The decision.
    pub decision: AdmitDecision,
    /// Requests that hold slots.
    pub in_progress: u32,
    /// Requests that wait.
    pub waiting: usize,
}

/// Error of a request that got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAdmitted {
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Whether the request limit of the target, or that it is cold, is the reason rather than its slots.
    pub is_rate_limited: bool,
}

impl AdmissionController {
    /// Creates the controller of a target that has just started.
    pub fn new(limits: AdmissionLimits) -> Self {
        let admission = Admission::new(limits, boot_now());
        let waiting = FastMap::default();
        let state = ControllerState { admission, waiting, has_timer: false };
        Self { state: Mutex::new(state), next_start_changed: Notify::new() }
    }

    /// Changes the limits, and starts waiting requests for which there are now slots.
    pub fn set_limits(&self, limits: AdmissionLimits) {
        let mut state = self.lock();
        state.admission.set_limits(limits);
        let now = boot_now();
        let dequeued = state.admission.dequeue(now);
        state.notify(dequeued, now);
    }

    /// Sets the request limit that the target announces, or none.
    pub fn set_request_limit(&self, limit: Option<RequestRate>) {
        let mut state = self.lock();
        let now = boot_now();
        let dequeued = state.admission.set_request_limit(now, limit);
        state.notify(dequeued, now);
        self.next_start_changed.notify_one();
    }

    /// Sets the time for which the target is cold, or that it is not.
    pub fn set_cold_period(&self, cold: Option<ColdPeriod>) {
        let mut state = self.lock();
        let now = boot_now();
        let dequeued = state.admission.set_cold_period(now, cold);
        state.notify(dequeued, now);
        self.next_start_changed.notify_one();
    }

    /// Starts waiting requests whenever the request limit of the target allows another one. Has to
    /// run as long as requests are admitted.
    pub async fn run_request_limit(&self) {
        loop {
            let next_start_at = {
                let mut state = self.lock();
                let now = boot_now();
                let dequeued = state.admission.dequeue(now);
                state.notify(dequeued, now);
                let next_start_at = state.admission.next_start_at(now);
                state.has_timer = next_start_at.is_some();
                next_start_at
            };
            let timer = async {
                match next_start_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => {}
                () = self.next_start_changed.notified() => {}
            }
        }
    }

    /// Restarts the ramp-up and discards the service times, for a target that has restarted.
    pub fn restart(&self) {
        self.lock().admission.restart(boot_now());
    }

    /// Sets the estimated service time of a class, unless it has an estimate or a measurement.
    pub fn assume_service_time(&self, class: Class, estimate: Duration) {
        self.lock().admission.assume_service_time(class, estimate);
    }

    /// Waits for a slot until the deadline or the maximum wait, or until the request is shed.
    pub async fn admit(&self, class: Class, deadline: Deadline) -> Result<Slot<'_>, NotAdmitted> {
        self.admit_with_soft_deadline(class, deadline, deadline).await
    }

    /// Waits for a slot for a request whose response loses most of its value at `soft_deadline`.
    ///
    /// Dropping the future takes the request out of the queue.
    pub async fn admit_with_soft_deadline(
        &self,
        class: Class,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> Result<Slot<'_>, NotAdmitted> {
        let (id, until, outcome) = match self.arrive(class, soft_deadline, deadline) {
            Arrived::Start => return Ok(Slot::new(self, class)),
            Arrived::Shed(not_admitted) => return Err(not_admitted),
            Arrived::Wait { id, until, outcome } => (id, until, outcome),
        };
        let entry = QueueEntry { controller: self, class, id: Some(id), outcome };
        tokio::select! {
            slot = entry.wait() => slot,
            () = sleep_until(until) => Err(self.lock().not_admitted()),
        }
    }

    /// Returns what would be decided on a request that arrives now, at a target with this cold period.
    /// Nothing changes.
    pub fn preview(
        &self,
        cold: Option<ColdPeriod>,
        class: Class,
        soft_deadline: Deadline,
        deadline: Deadline,
    ) -> AdmissionPreview {
        let mut admission = self.lock().admission.clone();
        let now = boot_now();
        let (in_progress, waiting) = (admission.in_progress(), admission.waiting());
        admission.set_cold_period(now, cold);
        let outcome = admission.arrive_with_soft_deadline(now, class, soft_deadline, deadline);
        AdmissionPreview { decision: outcome.decision, in_progress, waiting }
    }

    fn arrive(&self, class: Class, soft_deadline: Deadline, deadline: Deadline) -> Arrived {
        let mut state = self.lock();
        let now = boot_now();
        let arrival =
            state.admission.arrive_with_soft_deadline(now, class, soft_deadline, deadline);
        if let Some(evicted) = arrival.evicted {
            state.shed(evicted, now);
        }
        match arrival.decision {
            AdmitDecision::Start => Arrived::Start,
            AdmitDecision::Shed { retry_after_ms } => {
                let is_rate_limited = state.admission.is_rate_limited(now);
                Arrived::Shed(NotAdmitted { retry_after_ms, is_rate_limited })
            }
            AdmitDecision::Wait { id, until } => {
                let (sender, outcome) = oneshot::channel();
                state.waiting.insert(id, sender);
                self.start_timer(&state);
                Arrived::Wait { id, until, outcome }
            }
        }
    }

    /// Wakes [`Self::run_request_limit`] if there is a request limit and no timer runs yet.
    fn start_timer(&self, state: &ControllerState) {
        if !state.has_timer && state.admission.has_request_limit() {
            self.next_start_changed.notify_one();
        }
    }

    /// Records what a response of the target tells of its load.
    pub fn record_told_load(&self, told: ToldLoad) {
        self.lock().admission.record_told_load(boot_now(), told);
    }

    fn finish(&self, class: Class, service_time: Option<Duration>, began_slow: bool) {
        let mut state = self.lock();
        let now = boot_now();
        if let Some(service_time) = service_time.filter(|_| began_slow) {
            state.admission.add_slow_service_time(class, service_time);
        }
        let dequeued = match service_time {
            Some(service_time) => state.admission.finish_answered(now, class, service_time),
            None => state.admission.finish(now, None),
        };
        state.notify(dequeued, now);
        self.start_timer(&state);
    }

    /// Takes a request out of the queue. If it was started concurrently, frees its slot.
    fn leave(&self, id: WaitId, outcome: &mut oneshot::Receiver<WaitOutcome>) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        if state.admission.cancel_wait(id) {
            return;
        }
        if outcome.try_recv() == Ok(WaitOutcome::Start) {
            let now = boot_now();
            let dequeued = state.admission.finish(now, None);
            state.notify(dequeued, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Arrived {
    Start,
    Shed(NotAdmitted),
    Wait { id: WaitId, until: BootInstant, outcome: oneshot::Receiver<WaitOutcome> },
}

impl ControllerState {
    /// Notifies the requests that were started or shed.
    fn notify(&mut self, dequeued: Dequeued, now: BootInstant) {
        for id in dequeued.started {
            if let Some(sender) = self.waiting.remove(&id) {
                // If the request is being dropped, `leave` finds this outcome and frees the slot.
                let _ = sender.send(WaitOutcome::Start);
            }
        }
        for evicted in dequeued.shed {
            self.shed(evicted, now);
        }
    }

    fn shed(&mut self, evicted: Evicted, now: BootInstant) {
        if let Some(sender) = self.waiting.remove(&evicted.id) {
            let retry_after_ms = evicted.retry_after_ms;
            let is_rate_limited = self.admission.is_rate_limited(now);
            let not_admitted = NotAdmitted { retry_after_ms, is_rate_limited };
            let _ = sender.send(WaitOutcome::Shed(not_admitted));
        }
    }

    fn not_admitted(&self) -> NotAdmitted {
        let now = boot_now();
        NotAdmitted {
            retry_after_ms: self.admission.retry_after_ms(now),
            is_rate_limited: self.admission.is_rate_limited(now),
        }
    }
}

/// A waiting request. Dropping it takes the request out of the queue.
struct QueueEntry<'a> {
    controller: &'a AdmissionController,
    class: Class,
    id: Option<WaitId>,
    outcome: oneshot::Receiver<WaitOutcome>,
}

impl<'a> QueueEntry<'a> {
    async fn wait(mut self) -> Result<Slot<'a>, NotAdmitted> {
        let outcome = (&mut self.outcome).await;
        self.id = None;
        match outcome {
            Ok(WaitOutcome::Start) => Ok(Slot::new(self.controller, self.class)),
            Ok(WaitOutcome::Shed(not_admitted)) => Err(not_admitted),
            Err(_) => Err(self.controller.lock().not_admitted()),
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.controller.leave(id, &mut self.outcome);
        }
    }
}

impl<'a> Slot<'a> {
    fn new(controller: &'a AdmissionController, class: Class) -> Self {
        let began_slow = controller.lock().admission.is_told_slow(boot_now());
        Self { controller, class, began_at: Instant::now(), began_slow, service_time: None }
    }

    /// Records that the target sent a complete response, so that the time counts as a service time.
    pub fn record_response(&mut self) {
        self.service_time = Some(self.began_at.elapsed());
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.controller.finish(self.class, self.service_time, self.began_slow);
    }
}
