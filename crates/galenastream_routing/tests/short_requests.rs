//! Load pattern: a target takes long requests of callers, and short ones that other targets need while
//! they run a longer request of theirs. A refusal of a short one wastes what the other target has done.

use std::time::Duration;

use galenastream_routing::{Admission, AdmissionLimits, AdmitDecision, Class, Deadline, WaitId};
use galenastream_utils::BootInstant;

const LIMITS: AdmissionLimits = AdmissionLimits {
    slots: 6,
    queue_limit: 24,
    queue_wait_ms: 10_000,
    retry_after_ms: 50,
    ramp_up_ms: 0,
};

/// A kind of requests, and what became of them.
#[derive(Debug, Clone, Copy)]
struct Kind {
    class: Class,
    service_ms: u64,
    prompt_ms: u32,
    deadline_ms: u32,
    per_s: u64,
    arrivals: u64,
    started: u64,
    answered: u64,
    answered_promptly: u64,
}

impl Kind {
    const fn new(
        index: u16,
        service_ms: u64,
        prompt_ms: u32,
        deadline_ms: u32,
        per_s: u64,
    ) -> Self {
        Self {
            class: Class::new(index, 1),
            service_ms,
            prompt_ms,
            deadline_ms,
            per_s,
            arrivals: 0,
            started: 0,
            answered: 0,
            answered_promptly: 0,
        }
    }

    /// The time that the next request takes: 70 to 130 in 100 of the mean, one after another.
    fn next_ms(&mut self) -> u64 {
        self.started += 1;
        self.service_ms * (70 + self.started * 37 % 61) / 100
    }
}

/// A request, by its kind and when it arrived.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    arrived_ms: u64,
}

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// Plays the kinds against one target for ten seconds.
fn play(mut kinds: [Kind; 2]) -> [Kind; 2] {
    let mut admission = Admission::new(LIMITS, at_ms(0));
    for kind in &kinds {
        admission.assume_service_time(kind.class, Duration::from_millis(kind.service_ms));
    }
    let mut running: Vec<(u64, Request)> = Vec::new();
    let mut waiting: Vec<(WaitId, u64, Request)> = Vec::new();
    for now_ms in 0..10_000 {
        let now = at_ms(now_ms);
        let ended: Vec<_> = running.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, request) in ended {
            let kind = &mut kinds[request.kind];
            kind.answered += 1;
            let took_ms = now_ms - request.arrived_ms;
            kind.answered_promptly += u64::from(took_ms <= u64::from(kind.prompt_ms));
            let time = Duration::from_millis(kind.service_ms);
            let dequeued = admission.finish_answered(now, kind.class, time);
            waiting.retain(|it| dequeued.shed.iter().all(|shed| shed.id != it.0));
            for id in dequeued.started {
                let index = waiting.iter().position(|it| it.0 == id).expect("it waits");
                let request = waiting.remove(index).2;
                running.push((now_ms + kinds[request.kind].next_ms(), request));
            }
        }
        for (id, ..) in waiting.extract_if(.., |it| it.1 <= now_ms) {
            admission.cancel_wait(id);
        }
        for (index, kind) in kinds.iter_mut().enumerate() {
            while kind.arrivals * 1_000 < now_ms * kind.per_s {
                kind.arrivals += 1;
                let request = Request { kind: index, arrived_ms: now_ms };
                let prompt = Deadline::new(now, kind.prompt_ms);
                let deadline = Deadline::new(now, kind.deadline_ms);
                match admission
                    .arrive_with_soft_deadline(now, kind.class, prompt, deadline)
                    .decision
                {
                    AdmitDecision::Start => running.push((now_ms + kind.next_ms(), request)),
                    AdmitDecision::Wait { id, until } => {
                        waiting.push((id, until.as_ns() / 1_000_000, request));
                    }
                    AdmitDecision::Shed { .. } => {}
                }
            }
        }
    }
    kinds
}

#[test]
fn short_requests_are_served_while_long_ones_exceed_the_target() {
    // Long ones alone would fill the target one and a half times.
    let long = Kind::new(1_200, 570, 1_200, 3_000, 16);
    let short = Kind::new(150, 57, 150, 500, 11);
    let [long, short] = play([long, short]);
    assert!(short.answered * 100 >= short.arrivals * 95, "{short:?}");
    assert!(short.answered_promptly * 10 >= short.answered * 7, "{short:?}");
    // They cost the long ones no more than the time that they take.
    let room = 6 * 1_000 - short.per_s * short.service_ms;
    let expected = 10 * room / long.service_ms;
    assert!(long.answered * 100 >= expected * 93, "{long:?} of {expected}");
}
