//! Load pattern: a target gets more requests than it can serve, and callers that it has refused come
//! back. Callers count the time from their first attempt, and the way to the node and back.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, Deadline, UsualWaits, WaitId,
};
use galenastream_utils::BootInstant;

const SLOTS: u32 = 14;
const SERVICE_MS: u64 = 40;
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;
const TARGET_LATENCY_MS: u32 = 200;
const WAIT_MS: u64 = 500;
/// The time between a caller and a node, one way.
const WAY_MS: u64 = 8;
const REPLAYED_MS: u64 = 20_000;
const CLASS: Class = Class::new(200, 2);

const LIMITS: AdmissionLimits = AdmissionLimits {
    slots: SLOTS,
    queue_limit: 4 * SLOTS,
    queue_wait_ms: 10_000,
    retry_after_ms: 50,
    ramp_up_ms: 0,
};

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// A caller's request. Its times are those of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    first_sent_ms: u64,
    attempts: u64,
}

/// What the callers of a replay got.
#[derive(Debug, Default)]
struct Served {
    in_time: u64,
    late: u64,
    refused: u64,
}

/// The callers, the node and its target.
struct Replay {
    max_attempts: u64,
    arrivals: BinaryHeap<Reverse<(u64, Request)>>,
    served: Served,
}

impl Replay {
    fn new(max_attempts: u64, per_s: impl Fn(u64) -> u64) -> Self {
        let mut arrivals = BinaryHeap::new();
        let mut due = 0;
        for first_sent_ms in 0..REPLAYED_MS {
            due += per_s(first_sent_ms);
            while due >= 1_000 {
                due -= 1_000;
                let request = Request { first_sent_ms, attempts: 1 };
                arrivals.push(Reverse((first_sent_ms + WAY_MS, request)));
            }
        }
        Self { max_attempts, arrivals, served: Served::default() }
    }

    fn run(mut self) -> Served {
        let mut admission = Admission::new(LIMITS, at_ms(0));
        admission.assume_service_time(CLASS, Duration::from_millis(SERVICE_MS));
        let mut waits = UsualWaits::default();
        let mut running: Vec<(u64, Request)> = Vec::new();
        let mut waiting: Vec<(WaitId, u64, Request)> = Vec::new();
        for now_ms in 0..REPLAYED_MS + WAIT_MS {
            let now = at_ms(now_ms);
            let ended: Vec<_> = running.extract_if(.., |it| it.0 <= now_ms).collect();
            for (_, request) in ended {
                self.answer(request, now_ms);
                let time = Duration::from_millis(SERVICE_MS);
                let dequeued = admission.finish_answered(now, CLASS, time);
                let mut take = |id| {
                    let index = waiting.iter().position(|it| it.0 == id);
                    waiting.remove(index.expect("the request was waiting")).2
                };
                running
                    .extend(dequeued.started.into_iter().map(|id| (now_ms + SERVICE_MS, take(id))));
                for shed in dequeued.shed {
                    self.refuse(take(shed.id), now_ms, shed.retry_after_ms);
                }
            }
            for (id, _, request) in waiting.extract_if(.., |it| it.1 <= now_ms) {
                admission.cancel_wait(id);
                self.refuse(request, now_ms, admission.retry_after_ms(now));
            }
            while self.arrivals.peek().is_some_and(|it| it.0.0 <= now_ms) {
                let Some(Reverse((_, request))) = self.arrivals.pop() else { break };
                let elapsed_ms = now_ms - WAY_MS - request.first_sent_ms;
                let stated_ms = u32::try_from(WAIT_MS - elapsed_ms).expect("a wait is short");
                let waited_ms = waits.add(stated_ms);
                let class = CLASS.with_waited_ms(waited_ms);
                let soft_deadline = Deadline::of_answer(now, TARGET_LATENCY_MS);
                let deadline = Deadline::of_answer(now, stated_ms);
                let outcome =
                    admission.arrive_with_soft_deadline(now, class, soft_deadline, deadline);
                match outcome.decision {
                    AdmitDecision::Start => running.push((now_ms + SERVICE_MS, request)),
                    AdmitDecision::Wait { id, until } => {
                        waiting.push((id, until.as_ns() / 1_000_000, request));
                    }
                    AdmitDecision::Shed { retry_after_ms } => {
                        self.refuse(request, now_ms, retry_after_ms);
                    }
                }
            }
        }
        self.served
    }

    fn answer(&mut self, request: Request, now_ms: u64) {
        let elapsed_ms = now_ms + WAY_MS - request.first_sent_ms;
        match elapsed_ms <= u64::from(TARGET_LATENCY_MS) {
            true => self.served.in_time += 1,
            false => self.served.late += 1,
        }
    }

    /// Callers come back after the time that they are told, but at most a third of what they have
    /// left.
    fn refuse(&mut self, request: Request, now_ms: u64, retry_after_ms: u32) {
        let told_ms = now_ms + WAY_MS;
        let left_ms = (request.first_sent_ms + WAIT_MS).saturating_sub(told_ms);
        if request.attempts == self.max_attempts || left_ms == 0 {
            self.served.refused += 1;
            return;
        }
        // Callers open a new connection, and do not come back to the millisecond.
        let spread_ms = request.first_sent_ms % 7;
        let pause_ms = u64::from(retry_after_ms).min(left_ms / 3) + 2 * WAY_MS + spread_ms;
        if pause_ms + WAY_MS >= left_ms {
            self.served.refused += 1;
            return;
        }
        let request = Request { attempts: request.attempts + 1, ..request };
        self.arrivals.push(Reverse((told_ms + pause_ms + WAY_MS, request)));
    }
}

const FULL: u64 = CAPACITY_PER_S * REPLAYED_MS / 1_000;

/// Guards against answers that are ready within the target latency and reach their callers after it.
#[test]
fn an_overloaded_target_answers_early_enough_for_the_way_to_the_caller() {
    let served = Replay::new(1, |_| 2 * CAPACITY_PER_S).run();
    assert!(served.in_time > FULL * 95 / 100, "{served:?} of {FULL}");
}

/// Guards against slots that serve callers who are late already, in place of first attempts that can
/// be answered in time.
#[test]
fn an_overloaded_target_serves_first_attempts_before_callers_who_are_late() {
    for (max_attempts, load_percent) in [(2, 150), (2, 250), (4, 150), (4, 250)] {
        let served = Replay::new(max_attempts, |_| CAPACITY_PER_S * load_percent / 100).run();
        let case = format!("{max_attempts} attempts at {load_percent}%: {served:?} of {FULL}");
        assert!(served.in_time > FULL * 90 / 100, "{case}");
        assert!(served.in_time + served.late > FULL * 95 / 100, "{case}");
    }
}

/// Guards against callers that are refused for good while the target has room for them.
#[test]
fn callers_who_come_back_after_a_burst_are_served() {
    // A fourth of each second brings twice the capacity, the rest three fifths of it.
    let per_s = |ms: u64| match ms % 1_000 < 250 {
        true => 2 * CAPACITY_PER_S,
        false => CAPACITY_PER_S * 3 / 5,
    };
    let served = Replay::new(2, per_s).run();
    let asked = FULL * 95 / 100;
    assert!(served.in_time + served.late > asked * 95 / 100, "{served:?} of {asked}");
}
