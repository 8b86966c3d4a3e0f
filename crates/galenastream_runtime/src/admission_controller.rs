//! Admission control for the target beside this node.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, Deadline, Dequeued, Evicted, WaitId,
};
use galenastream_utils::FastMap;
use tokio::sync::oneshot;

use crate::{boot_now, sleep_until};

/// Admission control for the target beside this node, shared by all requests to it.
///
/// Wraps [`Admission`] for concurrent use: a request that has to wait is a future that ends with a
/// [`Slot`] or is shed.
#[derive(Debug)]
pub struct AdmissionController {
    state: Mutex<ControllerState>,
}

#[derive(Debug)]
struct ControllerState {
    admission: Admission,
    waiting: FastMap<WaitId, oneshot::Sender<WaitOutcome>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitOutcome {
    Start,
    Shed { retry_after_ms: u32 },
}

/// A slot of the target that a request occupies. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot<'a> {
    controller: &'a AdmissionController,
    class: Class,
    began_at: Instant,
    service_time: Option<Duration>,
}

/// Error of a request that got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAdmitted {
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u32,
}

impl AdmissionController {
    /// Creates the controller of a target that has just started.
    pub fn new(limits: AdmissionLimits) -> Self {
        let admission = Admission::new(limits, boot_now());
        Self { state: Mutex::new(ControllerState { admission, waiting: FastMap::default() }) }
    }

    /// Changes the limits, and starts waiting requests for which there are now slots.
    pub fn set_limits(&self, limits: AdmissionLimits) {
        let mut state = self.lock();
        state.admission.set_limits(limits);
        let dequeued = state.admission.dequeue(boot_now());
        state.notify(dequeued);
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
            () = sleep_until(until) => Err(NotAdmitted { retry_after_ms: self.retry_after_ms() }),
        }
    }

    fn arrive(&self, class: Class, soft_deadline: Deadline, deadline: Deadline) -> Arrived {
        let mut state = self.lock();
        let arrival =
            state.admission.arrive_with_soft_deadline(boot_now(), class, soft_deadline, deadline);
        if let Some(evicted) = arrival.evicted {
            state.shed(evicted);
        }
        match arrival.decision {
            AdmitDecision::Start => Arrived::Start,
            AdmitDecision::Shed { retry_after_ms } => Arrived::Shed(NotAdmitted { retry_after_ms }),
            AdmitDecision::Wait { id, until } => {
                let (sender, outcome) = oneshot::channel();
                state.waiting.insert(id, sender);
                Arrived::Wait { id, until, outcome }
            }
        }
    }

    fn retry_after_ms(&self) -> u32 {
        self.lock().admission.retry_after_ms(boot_now())
    }

    fn finish(&self, class: Class, service_time: Option<Duration>) {
        let mut state = self.lock();
        let dequeued = match service_time {
            Some(service_time) => state.admission.finish_answered(boot_now(), class, service_time),
            None => state.admission.finish(boot_now(), None),
        };
        state.notify(dequeued);
    }

    /// Takes a request out of the queue. If it was started concurrently, frees its slot.
    fn leave(&self, id: WaitId, outcome: &mut oneshot::Receiver<WaitOutcome>) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        if state.admission.cancel_wait(id) {
            return;
        }
        if outcome.try_recv() == Ok(WaitOutcome::Start) {
            let dequeued = state.admission.finish(boot_now(), None);
            state.notify(dequeued);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Arrived {
    Start,
    Shed(NotAdmitted),
    Wait {
        id: WaitId,
        until: galenastream_utils::BootInstant,
        outcome: oneshot::Receiver<WaitOutcome>,
    },
}

impl ControllerState {
    /// Notifies the requests that were started or shed.
    fn notify(&mut self, dequeued: Dequeued) {
        for id in dequeued.started {
            if let Some(sender) = self.waiting.remove(&id) {
                // If the request is being dropped, `leave` finds this outcome and frees the slot.
                let _ = sender.send(WaitOutcome::Start);
            }
        }
        for evicted in dequeued.shed {
            self.shed(evicted);
        }
    }

    fn shed(&mut self, evicted: Evicted) {
        if let Some(sender) = self.waiting.remove(&evicted.id) {
            let _ = sender.send(WaitOutcome::Shed { retry_after_ms: evicted.retry_after_ms });
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
            Ok(WaitOutcome::Shed { retry_after_ms }) => Err(NotAdmitted { retry_after_ms }),
            Err(_) => Err(NotAdmitted { retry_after_ms: self.controller.retry_after_ms() }),
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
        Self { controller, class, began_at: Instant::now(), service_time: None }
    }

    /// Records that the target sent a complete response, so that the time counts as a service time.
    pub fn record_response(&mut self) {
        self.service_time = Some(self.began_at.elapsed());
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.controller.finish(self.class, self.service_time);
    }
}
