//! Admission to the target beside this node, shared by the traffic threads.

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

/// Admission to the target beside this node, shared by the traffic threads.
#[derive(Debug)]
pub struct AdmissionController {
    state: Mutex<DeskState>,
}

#[derive(Debug)]
struct DeskState {
    admission: Admission,
    waiting: FastMap<WaitId, oneshot::Sender<Verdict>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Start,
    Shed { retry_after_ms: u32 },
}

/// A slot of the target. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot<'a> {
    desk: &'a AdmissionController,
    class: Class,
    began_at: Instant,
    service_time: Option<Duration>,
}

/// A request that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAdmitted {
    /// When to come back.
    pub retry_after_ms: u32,
}

impl AdmissionController {
    /// Creates the admission to a target that came up now.
    pub fn new(limits: AdmissionLimits) -> Self {
        let admission = Admission::new(limits, boot_now());
        Self { state: Mutex::new(DeskState { admission, waiting: FastMap::default() }) }
    }

    /// Puts limits in force.
    pub fn set_limits(&self, limits: AdmissionLimits) {
        let mut state = self.lock();
        state.admission.set_limits(limits);
        let released = state.admission.dequeue(boot_now());
        state.settle(released);
    }

    /// Starts the ramp of a target that came up anew.
    pub fn restart(&self) {
        self.lock().admission.restart(boot_now());
    }

    /// Takes a guess for the service time of a class of which nothing was measured yet.
    pub fn assume_service_time(&self, class: Class, guess: Duration) {
        self.lock().admission.assume_service_time(class, guess);
    }

    /// Waits for a slot, as long as that is of use.
    pub async fn admit(&self, class: Class, deadline: Deadline) -> Result<Slot<'_>, NotAdmitted> {
        self.admit_promptly(class, deadline, deadline).await
    }

    /// Waits for a slot for a request whose answer loses most of its worth at `prompt`.
    pub async fn admit_promptly(
        &self,
        class: Class,
        prompt: Deadline,
        deadline: Deadline,
    ) -> Result<Slot<'_>, NotAdmitted> {
        let (id, until, verdict) = match self.arrive(class, prompt, deadline) {
            Arrived::Start => return Ok(Slot::new(self, class)),
            Arrived::Shed(refusal) => return Err(refusal),
            Arrived::Wait { id, until, verdict } => (id, until, verdict),
        };
        let place = QueuePlace { desk: self, class, id: Some(id), verdict };
        tokio::select! {
            slot = place.wait() => slot,
            () = sleep_until(until) => Err(NotAdmitted { retry_after_ms: self.retry_after_ms() }),
        }
    }

    fn arrive(&self, class: Class, prompt: Deadline, deadline: Deadline) -> Arrived {
        let mut state = self.lock();
        let admitted =
            state.admission.arrive_with_soft_deadline(boot_now(), class, prompt, deadline);
        if let Some(evicted) = admitted.evicted {
            state.shed(evicted);
        }
        match admitted.decision {
            AdmitDecision::Start => Arrived::Start,
            AdmitDecision::Shed { retry_after_ms } => Arrived::Shed(NotAdmitted { retry_after_ms }),
            AdmitDecision::Wait { id, until } => {
                let (sender, verdict) = oneshot::channel();
                state.waiting.insert(id, sender);
                Arrived::Wait { id, until, verdict }
            }
        }
    }

    fn retry_after_ms(&self) -> u32 {
        self.lock().admission.retry_after_ms(boot_now())
    }

    fn finish(&self, class: Class, service_time: Option<Duration>) {
        let mut state = self.lock();
        let released = match service_time {
            Some(service_time) => state.admission.finish_answered(boot_now(), class, service_time),
            None => state.admission.finish(boot_now(), None),
        };
        state.settle(released);
    }

    /// Takes a request out of the queue. If it was started at the same moment, frees its slot.
    fn leave(&self, id: WaitId, verdict: &mut oneshot::Receiver<Verdict>) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        if state.admission.cancel_wait(id) {
            return;
        }
        if verdict.try_recv() == Ok(Verdict::Start) {
            let released = state.admission.finish(boot_now(), None);
            state.settle(released);
        }
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Arrived {
    Start,
    Shed(NotAdmitted),
    Wait { id: WaitId, until: galenastream_utils::BootInstant, verdict: oneshot::Receiver<Verdict> },
}

impl DeskState {
    fn settle(&mut self, released: Dequeued) {
        for id in released.started {
            if let Some(sender) = self.waiting.remove(&id) {
                // A receiver that is gone frees the slot itself, since it still holds the verdict.
                let _ = sender.send(Verdict::Start);
            }
        }
        for evicted in released.shed {
            self.shed(evicted);
        }
    }

    fn shed(&mut self, evicted: Evicted) {
        if let Some(sender) = self.waiting.remove(&evicted.id) {
            let _ = sender.send(Verdict::Shed { retry_after_ms: evicted.retry_after_ms });
        }
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct QueuePlace<'a> {
    desk: &'a AdmissionController,
    class: Class,
    id: Option<WaitId>,
    verdict: oneshot::Receiver<Verdict>,
}

impl<'a> QueuePlace<'a> {
    async fn wait(mut self) -> Result<Slot<'a>, NotAdmitted> {
        let verdict = (&mut self.verdict).await;
        self.id = None;
        match verdict {
            Ok(Verdict::Start) => Ok(Slot::new(self.desk, self.class)),
            Ok(Verdict::Shed { retry_after_ms }) => Err(NotAdmitted { retry_after_ms }),
            Err(_) => Err(NotAdmitted { retry_after_ms: self.desk.retry_after_ms() }),
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.desk.leave(id, &mut self.verdict);
        }
    }
}

impl<'a> Slot<'a> {
    fn new(desk: &'a AdmissionController, class: Class) -> Self {
        Self { desk, class, began_at: Instant::now(), service_time: None }
    }

    /// Records that the target gave a whole answer.
    pub fn answered(&mut self) {
        self.service_time = Some(self.began_at.elapsed());
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.desk.finish(self.class, self.service_time);
    }
}
