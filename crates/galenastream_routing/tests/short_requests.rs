//! Load pattern: a target gets long requests from callers, and short ones that other targets send
//! while they run longer requests. Refusing a short one wastes the work that the other target has
//! done.

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

/// A kind of requests, and the results of its requests.
#[derive(Debug, Clone, Copy)]
struct Kind {
    class: Class,
    service_ms: u64,
    soft_deadline_ms: u32,
    deadline_ms: u32,
    per_s: u64,
    arrivals: u64,
    started: u64,
    answered: u64,
    answered_in_time: u64,
}

impl Kind {
    const fn new(
        index: u16,
        service_ms: u64,
        soft_deadline_ms: u32,
        deadline_ms: u32,
        per_s: u64,
    ) -> Self {
        Self {
            class: Class::new(index, 1),
            service_ms,
            soft_deadline_ms,
            deadline_ms,
            per_s,
            arrivals: 0,
            started: 0,
            answered: 0,
            answered_in_time: 0,
        }
    }

    /// Returns the service time of the next request. Service times cycle through 70% to 130% of the
    /// mean.
    fn next_ms(&mut self) -> u64 {
        self.started += 1;
        self.service_ms * (70 + self.started * 37 % 61) / 100
    }
}

/// A request: the index of its kind and its time of arrival.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    arrived_ms: u64,
}

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// Replays both kinds against one target for ten seconds.
fn replay(mut kinds: [Kind; 2]) -> [Kind; 2] {
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
            kind.answered_in_time += u64::from(took_ms <= u64::from(kind.soft_deadline_ms));
            let time = Duration::from_millis(kind.service_ms);
            let dequeued = admission.finish_answered(now, kind.class, time);
            waiting.retain(|it| dequeued.shed.iter().all(|shed| shed.id != it.0));
            for id in dequeued.started {
                let index =
                    waiting.iter().position(|it| it.0 == id).expect("the request was waiting");
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
                let soft_deadline = Deadline::new(now, kind.soft_deadline_ms);
                let deadline = Deadline::new(now, kind.deadline_ms);
                match admission
                    .arrive_with_soft_deadline(now, kind.class, soft_deadline, deadline)
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
    // The long requests alone need one and a half times the capacity of the target.
    let long = Kind::new(1_200, 570, 1_200, 3_000, 16);
    let short = Kind::new(150, 57, 150, 500, 11);
    let [long, short] = replay([long, short]);
    assert!(short.answered * 100 >= short.arrivals * 95, "{short:?}");
    assert!(short.answered_in_time * 10 >= short.answered * 7, "{short:?}");
    // The short requests displace no more long ones than their service time accounts for.
    let slot_ms_per_s = 6 * 1_000 - short.per_s * short.service_ms;
    let expected = 10 * slot_ms_per_s / long.service_ms;
    assert!(long.answered * 100 >= expected * 93, "{long:?} of {expected}");
}

/// Guards against refused calls that fail the longer requests of other targets, whose work is then
/// wasted.
#[test]
fn calls_that_take_a_fifth_of_a_long_request_are_not_refused_under_overload() {
    // The long requests alone need one and a half times the capacity of the target.
    let long = Kind::new(400, 210, 400, 1_200, 43);
    let call = Kind::new(80, 42, 80, 500, 60);
    let [_, call] = replay([long, call]);
    assert!(call.answered * 100 >= call.arrivals * 95, "{call:?}");
}

/// Guards against calls that wait at a slow target, and hold up the request that made them, while
/// others have room.
#[test]
fn a_call_that_would_be_late_is_refused_while_it_can_go_elsewhere() {
    let long = Kind::new(400, 210, 400, 1_200, 43);
    let call = Kind::new(80, 42, 80, 500, 160);
    let redirectable = Kind { class: call.class.with_alternatives(true), ..call };
    let [_, call] = replay([long, redirectable]);
    assert!(call.answered_in_time * 100 >= call.answered * 90, "{call:?}");
}

/// Guards against answers that all come late because a few requests of another class take long: all
/// others would count as short, and wait until their deadlines.
#[test]
fn a_few_slow_requests_do_not_make_all_others_short() {
    // The target never answers the slow requests before their time ends, and they take a third of
    // its slots. The others need three times its capacity.
    let slow = Kind::new(1_200, 1_000, 1_200, 3_000, 2);
    let common = Kind::new(200, 40, 180, 475, 300);
    let [_, common] = replay([slow, common]);
    assert!(common.answered > 800, "{common:?}");
    assert!(common.answered_in_time * 100 >= common.answered * 90, "{common:?}");
}
