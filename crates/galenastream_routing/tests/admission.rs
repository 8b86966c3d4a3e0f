//! Tests of admission under virtual time.

use std::time::Duration;

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, Deadline, Dequeued, WaitId,
};
use galenastream_utils::BootInstant;
use proptest::prelude::*;

const RESERVATION: Class = Class::new(0, 9);
const LISTING: Class = Class::new(1, 1);
const SERVICE_TIME: Duration = Duration::from_millis(10);

const LIMITS: AdmissionLimits = AdmissionLimits {
    slots: 2,
    queue_limit: 3,
    queue_wait_ms: 100,
    retry_after_ms: 50,
    ramp_up_ms: 0,
};

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// Returns an admission control with a known service time and no free slots.
fn busy_admission() -> Admission {
    let mut admission = Admission::new(LIMITS, at_ms(0));
    for _ in 0..LIMITS.slots {
        admission.arrive(at_ms(0), LISTING, Deadline::new(at_ms(0), 1_000));
    }
    admission.finish(at_ms(0), Some(SERVICE_TIME));
    admission.arrive(at_ms(0), LISTING, Deadline::new(at_ms(0), 1_000));
    admission
}

fn arrive(admission: &mut Admission, class: Class, deadline_ms: u32) -> AdmitDecision {
    admission.arrive(at_ms(0), class, Deadline::new(at_ms(0), deadline_ms)).decision
}

#[test]
fn takes_slots_then_queues_then_sheds() {
    let mut admission = Admission::new(LIMITS, at_ms(0));
    assert_eq!(arrive(&mut admission, LISTING, 1_000), AdmitDecision::Start);
    assert_eq!(arrive(&mut admission, LISTING, 1_000), AdmitDecision::Start);
    for id in 0..3 {
        let until = at_ms(100);
        let expected = AdmitDecision::Wait { id: WaitId(id), until };
        assert_eq!(arrive(&mut admission, LISTING, 1_000), expected);
    }
    assert!(matches!(
        arrive(&mut admission, LISTING, 1_000),
        AdmitDecision::Shed { retry_after_ms: 50.. }
    ));
}

#[test]
fn a_request_of_a_higher_priority_evicts_the_last_one_of_the_lowest() {
    let mut admission = busy_admission();
    for _ in 0..LIMITS.queue_limit {
        arrive(&mut admission, LISTING, 1_000);
    }
    let admitted = admission.arrive(at_ms(0), RESERVATION, Deadline::new(at_ms(0), 1_000));
    assert!(matches!(admitted.decision, AdmitDecision::Wait { .. }));
    assert_eq!(admitted.evicted.map(|it| it.id), Some(WaitId(2)));
    let dequeued = admission.finish(at_ms(1), Some(SERVICE_TIME));
    assert_eq!(dequeued.started, [WaitId(3)], "the higher priority starts first");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_shed_on_arrival() {
    // The mean service time is 10 ms, so one of two slots becomes free every 5 ms.
    for (deadline_ms, waits) in [(1, false), (14, false), (16, true), (1_000, true)] {
        let mut admission = busy_admission();
        let decision = arrive(&mut admission, LISTING, deadline_ms);
        assert_eq!(
            matches!(decision, AdmitDecision::Wait { .. }),
            waits,
            "deadline {deadline_ms} ms"
        );
    }
}

#[test]
fn a_waiting_request_is_shed_when_it_can_no_longer_meet_its_deadline() {
    let mut admission = busy_admission();
    arrive(&mut admission, LISTING, 30);
    let dequeued = admission.finish(at_ms(25), None);
    assert!(dequeued.started.is_empty());
    assert_eq!(dequeued.shed.len(), 1);
}

#[test]
fn a_request_with_a_cancelled_wait_is_not_started() {
    let mut admission = busy_admission();
    let AdmitDecision::Wait { id, .. } = arrive(&mut admission, LISTING, 1_000) else {
        panic!("expected to wait");
    };
    assert!(admission.cancel_wait(id));
    assert!(!admission.cancel_wait(id));
    assert_eq!(admission.finish(at_ms(1), None), Dequeued::default());
}

#[test]
fn the_slots_of_a_cold_target_open_step_by_step() {
    let limits = AdmissionLimits { slots: 20, queue_limit: 0, ramp_up_ms: 1_000, ..LIMITS };
    for (up_ms, expected_slots) in [(0, 5), (500, 13), (999, 20), (5_000, 20)] {
        let mut admission = Admission::new(limits, at_ms(0));
        let mut started = 0;
        for _ in 0..limits.slots {
            let now = at_ms(up_ms);
            let admitted = admission.arrive(now, LISTING, Deadline::new(now, 1_000));
            started += u32::from(admitted.decision == AdmitDecision::Start);
        }
        assert_eq!(started, expected_slots, "{up_ms} ms after the start");
    }
}

#[test]
fn refused_callers_are_told_different_retry_times() {
    let mut admission =
        Admission::new(AdmissionLimits { slots: 0, queue_limit: 0, ..LIMITS }, at_ms(0));
    let mut times_ms: Vec<u32> = (0..8)
        .map(|_| match arrive(&mut admission, LISTING, 1_000) {
            AdmitDecision::Shed { retry_after_ms } => retry_after_ms,
            other => panic!("expected to be shed, was {other:?}"),
        })
        .collect();
    times_ms.sort_unstable();
    times_ms.dedup();
    assert_eq!(times_ms.len(), 8);
}

#[derive(Debug, Clone)]
enum Step {
    Arrive { priority: u8, deadline_ms: u32 },
    Finish,
    CancelWait { id: u64 },
    AdvanceTime { ms: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, 1..200_u32).prop_map(|(priority, deadline_ms)| Step::Arrive { priority, deadline_ms }),
        3 => Just(Step::Finish),
        1 => (0..60_u64).prop_map(|id| Step::CancelWait { id }),
        2 => (0..20_u64).prop_map(|ms| Step::AdvanceTime { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Slots and queue stay within their limits, and each waiting request is started, shed or
    /// cancelled exactly once.
    #[test]
    fn limits_hold_and_no_request_is_lost(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut admission = Admission::new(LIMITS, at_ms(0));
        let mut now_ms = 0;
        let mut running = 0_u32;
        let mut waiting: Vec<WaitId> = Vec::new();
        for step in steps {
            let now = at_ms(now_ms);
            let mut dequeued = Dequeued::default();
            match step {
                Step::AdvanceTime { ms } => now_ms += ms,
                Step::CancelWait { id } => {
                    let expected = waiting.contains(&WaitId(id));
                    prop_assert_eq!(admission.cancel_wait(WaitId(id)), expected);
                    waiting.retain(|it| *it != WaitId(id));
                }
                Step::Finish if running > 0 => {
                    running -= 1;
                    dequeued = admission.finish(now, Some(SERVICE_TIME));
                }
                Step::Finish => {}
                Step::Arrive { priority, deadline_ms } => {
                    let deadline = Deadline::new(now, deadline_ms);
                    let admitted = admission.arrive(now, Class::new(0, priority), deadline);
                    match admitted.decision {
                        AdmitDecision::Start => running += 1,
                        AdmitDecision::Wait { id, .. } => waiting.push(id),
                        AdmitDecision::Shed { retry_after_ms } => prop_assert!(retry_after_ms > 0),
                    }
                    dequeued.shed.extend(admitted.evicted);
                }
            }
            for id in dequeued.started {
                prop_assert!(waiting.contains(&id));
                waiting.retain(|it| *it != id);
                running += 1;
            }
            for shed in dequeued.shed {
                prop_assert!(waiting.contains(&shed.id));
                waiting.retain(|it| *it != shed.id);
            }
            prop_assert!(running <= LIMITS.slots);
            prop_assert_eq!(admission.in_progress(), running);
            prop_assert!(admission.waiting() <= LIMITS.queue_limit as usize);
            prop_assert_eq!(admission.waiting(), waiting.len());
        }
    }
}
