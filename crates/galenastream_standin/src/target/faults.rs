//! Faults of a target.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Faults of a target, as `POST /standin/faults` sets them. What is absent is switched off.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// For this long nothing begins, ends or is answered; then all goes on as if nothing happened.
    pub freeze_ms: u64,
    /// Work takes this many percent longer.
    pub slow_percent: u32,
    /// Answers arrive this much after the commit.
    pub answer_delay_ms: u64,
    /// `/health` says this, whatever is true.
    pub lie_health: Option<String>,
    /// `/load` says this, whatever is true.
    pub lie_busy_slots: Option<u32>,
    /// Grants are no longer checked.
    pub ignore_grants: bool,
    /// This many orders are carried out and then never answered.
    pub drop_answers: u32,
    /// This many answers break off in the middle.
    pub half_answers: u32,
}

/// How the answer to one order is spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderFault {
    None,
    DropAnswer,
    HalfAnswer,
}

/// The faults in force.
#[derive(Debug)]
pub(crate) struct TargetFaultSwitch {
    faults: Mutex<TargetFaults>,
    frozen_until: watch::Sender<Instant>,
}

impl TargetFaultSwitch {
    pub(crate) fn new() -> Self {
        let (frozen_until, _) = watch::channel(Instant::now());
        Self { faults: Mutex::new(TargetFaults::default()), frozen_until }
    }

    pub(crate) fn set(&self, faults: TargetFaults) {
        let freeze = Duration::from_millis(faults.freeze_ms);
        *self.lock() = faults;
        self.frozen_until.send_replace(Instant::now() + freeze);
    }

    pub(crate) fn current(&self) -> TargetFaults {
        self.lock().clone()
    }

    /// Waits until the target is no longer frozen.
    pub(crate) async fn thaw(&self) {
        let mut changes = self.frozen_until.subscribe();
        loop {
            let frozen_until = *changes.borrow_and_update();
            if frozen_until <= Instant::now() {
                return;
            }
            // The freeze may be ended early.
            tokio::select! {
                () = sleep_until(frozen_until) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Decides how the next answer is spoilt.
    pub(crate) fn next_order_fault(&self) -> OrderFault {
        let mut faults = self.lock();
        if faults.drop_answers > 0 {
            faults.drop_answers -= 1;
            return OrderFault::DropAnswer;
        }
        if faults.half_answers > 0 {
            faults.half_answers -= 1;
            return OrderFault::HalfAnswer;
        }
        OrderFault::None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TargetFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
