//! A request that is counted on its slice.

use std::{sync::Arc, time::Duration};

use galenastream_ownership::{BootInstant, KeyHash, SliceEpoch};
use tokio::runtime::Handle;

use crate::{
    process::{boot_now, sleep_until},
    version::SliceGate,
};

/// A request that is counted on its slice until it is dropped.
///
/// A request that was handed over to the target and then abandoned stays counted until the order's
/// deadline, since the target may work on it until then.
#[derive(Debug)]
pub struct InProgress {
    gate: Arc<SliceGate>,
    order_deadline: Option<BootInstant>,
}

impl InProgress {
    /// Counts a request in.
    pub fn enter(gate: Arc<SliceGate>) -> Self {
        gate.enter();
        Self { gate, order_deadline: None }
    }

    /// The slice and its assignment.
    pub fn id(&self) -> SliceEpoch {
        self.gate.id()
    }

    /// Records that the order is about to be handed over to the target.
    pub fn hand_over(&mut self, order_deadline: BootInstant) {
        self.order_deadline = Some(order_deadline);
    }

    /// Adds the slot time that the request used to the load of its slice.
    pub fn record_busy(&self, hash: KeyHash, busy: Duration) {
        self.gate.meter().add(hash, busy);
    }

    /// Ends a request whose work at the target provably ended, or never began.
    pub fn finish(mut self) {
        self.order_deadline = None;
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let gate = self.gate.clone();
        let pending = self.order_deadline.filter(|it| boot_now() < *it);
        let (Some(order_deadline), Ok(runtime)) = (pending, Handle::try_current()) else {
            gate.leave();
            return;
        };
        runtime.spawn(async move {
            sleep_until(order_deadline).await;
            gate.leave();
        });
    }
}
