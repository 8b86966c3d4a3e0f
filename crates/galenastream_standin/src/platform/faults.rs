//! Faults of a service of the platform.

use std::{sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Faults of one service, as `POST /standin/faults` sets them. What is absent is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every request takes this much longer; half of it before it takes effect.
    pub delay_ms: u64,
    /// This share of the requests fails with status 500 and has no effect.
    pub fail_share_percent: u32,
    /// This many writes take effect, but their answers never come.
    pub drop_answer_after_apply: u32,
    /// Writes are not answered, and take effect this much later.
    pub apply_late_ms: u64,
    /// For this long no request is answered, nor has one an effect.
    pub outage_ms: u64,
    /// Every request is refused with status 503.
    pub refuse_all: bool,
    /// Answers are bytes that mean nothing.
    pub garbage_answers: bool,
    /// Answers are this long, at least.
    pub huge_answer_bytes: usize,
    /// Answers break off in the middle; requests take effect.
    pub half_answers: bool,
}

/// What is to be done with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Treatment {
    /// Carry it out and answer it.
    Serve(AnswerFault),
    /// Never answer it, and do nothing.
    Ignore,
    /// Answer with a status, and do nothing.
    Refuse(u16),
    /// Carry it out, and never answer.
    DropAnswer,
    /// Never answer, and carry it out later.
    ApplyLate(Duration),
}

/// How an answer is spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerFault {
    /// Not at all.
    None,
    /// Bytes that mean nothing.
    Garbage,
    /// Longer than any true answer.
    Huge(usize),
    /// Breaks off in the middle.
    Half,
}

/// The faults in force.
#[derive(Debug)]
pub(crate) struct FaultSwitch {
    state: Mutex<FaultState>,
}

#[derive(Debug)]
struct FaultState {
    faults: PlatformFaults,
    set_at: Instant,
    requests: u64,
}

impl FaultSwitch {
    pub(crate) fn new() -> Self {
        let state =
            FaultState { faults: PlatformFaults::default(), set_at: Instant::now(), requests: 0 };
        Self { state: Mutex::new(state) }
    }

    pub(crate) fn set(&self, faults: PlatformFaults) {
        *self.lock() = FaultState { faults, set_at: Instant::now(), requests: 0 };
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.lock().faults.delay_ms)
    }

    /// Decides what is to be done with the next request.
    pub(crate) fn treat(&self, is_write: bool) -> Treatment {
        let mut state = self.lock();
        let faults = state.faults;
        let request = state.requests;
        state.requests += 1;
        if state.set_at.elapsed() < Duration::from_millis(faults.outage_ms) {
            return Treatment::Ignore;
        }
        if faults.refuse_all {
            return Treatment::Refuse(503);
        }
        if fails(request, faults.fail_share_percent) {
            return Treatment::Refuse(500);
        }
        if is_write && faults.apply_late_ms > 0 {
            return Treatment::ApplyLate(Duration::from_millis(faults.apply_late_ms));
        }
        if is_write && faults.drop_answer_after_apply > 0 {
            state.faults.drop_answer_after_apply -= 1;
            return Treatment::DropAnswer;
        }
        Treatment::Serve(answer_fault(&faults))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn answer_fault(faults: &PlatformFaults) -> AnswerFault {
    if faults.garbage_answers {
        return AnswerFault::Garbage;
    }
    if faults.half_answers {
        return AnswerFault::Half;
    }
    match faults.huge_answer_bytes {
        0 => AnswerFault::None,
        length_bytes => AnswerFault::Huge(length_bytes),
    }
}

/// Spreads the failing requests evenly, so that a run can be repeated.
fn fails(request: u64, share_percent: u32) -> bool {
    let share_percent = u64::from(share_percent);
    (request + 1) * share_percent / 100 != request * share_percent / 100
}
