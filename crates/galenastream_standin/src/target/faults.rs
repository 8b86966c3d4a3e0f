//! Faults of a target.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

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
    state: Mutex<FaultState>,
}

#[derive(Debug)]
struct FaultState {
    faults: TargetFaults,
    frozen_until: Option<Instant>,
}

impl TargetFaultSwitch {
    pub(crate) fn new() -> Self {
        let state = FaultState { faults: TargetFaults::default(), frozen_until: None };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn set(&self, faults: TargetFaults) {
        let freeze = Duration::from_millis(faults.freeze_ms);
        let frozen_until = (!freeze.is_zero()).then(|| Instant::now() + freeze);
        *self.lock() = FaultState { faults, frozen_until };
    }

    pub(crate) fn current(&self) -> TargetFaults {
        self.lock().faults.clone()
    }

    /// Waits until the target is no longer frozen.
    pub(crate) async fn thaw(&self) {
        loop {
            let frozen_until = self.lock().frozen_until;
            match frozen_until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Decides how the next answer is spoilt.
    pub(crate) fn next_order_fault(&self) -> OrderFault {
        let mut state = self.lock();
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return OrderFault::DropAnswer;
        }
        if state.faults.half_answers > 0 {
            state.faults.half_answers -= 1;
            return OrderFault::HalfAnswer;
        }
        OrderFault::None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
