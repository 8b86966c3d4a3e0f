//! Tests of admission to a cold target.

use std::time::Duration;

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, ColdPeriod, Deadline, RequestRate,
};
use galenastream_utils::BootInstant;
use proptest::prelude::*;

const CLASS: Class = Class::new(0, 100);
const SLOTS: u32 = 18;
const SERVICE_TIME_MS: u64 = 90;
const LIMIT_PER_S: u64 = 11;

fn at(ms: u64) -> BootInstant {
    BootInstant::new(1_000_000_000) + Duration::from_millis(ms)
}

fn cold_until(ms: u64) -> Option<ColdPeriod> {
    Some(ColdPeriod { limit: RequestRate::new(LIMIT_PER_S * 1_000), until: at(ms) })
}

fn admission() -> Admission {
    let limits = AdmissionLimits {
        slots: SLOTS,
        queue_limit: 72,
        queue_wait_ms: 10_000,
        retry_after_ms: 50,
        ramp_up_ms: 0,
    };
    let mut admission = Admission::new(limits, at(0));
    admission.assume_service_time(CLASS, Duration::from_millis(SERVICE_TIME_MS));
    admission
}

/// Replays arrivals `gap_ms` apart, each of which may wait `wait_ms`, at a target whose cold period is
/// reported as `report(now)` says. Returns when requests start.
fn start_times(
    gap_ms: u64,
    wait_ms: u32,
    end_ms: u64,
    report: impl Fn(u64) -> Option<ColdPeriod>,
) -> Vec<u64> {
    let mut admission = admission();
    let mut started: Vec<u64> = Vec::new();
    for now_ms in 0..end_ms {
        let now = at(now_ms);
        let cold = report(now_ms).filter(|it| it.until > now);
        let dequeued = admission.set_cold_period(now, cold);
        started.extend(dequeued.started.iter().map(|_| now_ms));
        let ended = started.iter().filter(|it| **it + SERVICE_TIME_MS == now_ms).count();
        for _ in 0..ended {
            let service_time = Duration::from_millis(SERVICE_TIME_MS);
            let dequeued = admission.finish_answered(now, CLASS, service_time);
            started.extend(dequeued.started.iter().map(|_| now_ms));
        }
        let dequeued = admission.dequeue(now);
        started.extend(dequeued.started.iter().map(|_| now_ms));
        if now_ms % gap_ms == 0 {
            let outcome = admission.arrive(now, CLASS, Deadline::new(now, wait_ms));
            started.extend((outcome.decision == AdmitDecision::Start).then_some(now_ms));
        }
    }
    started
}

/// The most requests that start within any second before `end_ms`.
fn most_in_a_second(started: &[u64], end_ms: u64) -> usize {
    let within =
        |from: &u64| started.iter().filter(|it| (*from..from + 1_000).contains(it)).count();
    started.iter().filter(|it| **it + 1_000 <= end_ms).map(within).max().unwrap_or_default()
}

/// Load: a data centre of cold targets gets back seven times what they bear.
#[test]
fn a_cold_target_gets_what_it_bears_and_all_of_its_slots_once_it_is_warm() {
    let started = start_times(13, 2_000, 5_000, |_| cold_until(3_000));
    assert!(most_in_a_second(&started, 3_000) <= LIMIT_PER_S as usize + 3);
    let while_cold = started.iter().filter(|it| **it < 3_000).count();
    assert!(while_cold >= 3 * LIMIT_PER_S as usize - 2, "{while_cold} started");
    let once_warm = started.iter().filter(|it| **it >= 3_000).count();
    assert!(once_warm >= 140, "{once_warm} started");
}

/// Load: the same, with callers that wait for less than a place at a cold target takes.
#[test]
fn requests_that_a_cold_target_cannot_start_in_time_are_refused_at_once() {
    let mut admission = admission();
    admission.set_cold_period(at(0), cold_until(3_000));
    let mut waiting = 0;
    for _ in 0..40 {
        let outcome = admission.arrive(at(0), CLASS, Deadline::new(at(0), 1_000));
        match outcome.decision {
            AdmitDecision::Wait { .. } => waiting += 1,
            AdmitDecision::Shed { retry_after_ms } => assert!(retry_after_ms >= 800),
            AdmitDecision::Start => panic!("the bucket of a process that starts is empty"),
        }
    }
    assert!((8..=11).contains(&waiting), "{waiting} wait");
    // Close to the end of the cold period, it hardly keeps anyone waiting.
    let now = at(2_900);
    assert!(admission.retry_after_ms(now) <= 300);
}

proptest! {
    /// Load: a target that becomes cold again and again, and whose reports change their mind.
    #[test]
    fn a_cold_target_never_gets_more_than_it_bears(
        gap_ms in 3_u64..60,
        lengths in prop::collection::vec(0_u64..1_500, 6..7),
    ) {
        // Each period begins 700 ms after the one before, and may end before the next one does.
        let report = |now_ms: u64| {
            let index = (now_ms / 700) as usize;
            cold_until(index as u64 * 700 + lengths[index.min(5)])
        };
        let started = start_times(gap_ms, 3_000, 4_200, report);
        let is_cold = |ms: u64| report(ms).is_some_and(|it| it.until > at(ms));
        let cold: Vec<u64> = started.into_iter().filter(|it| is_cold(*it)).collect();
        for from in &cold {
            let is_cold_throughout = (*from..from + 1_000).all(|it| is_cold(it.min(4_199)));
            let most = cold.iter().filter(|it| (*from..from + 1_000).contains(it)).count();
            let bound = LIMIT_PER_S as usize + 3;
            prop_assert!(!is_cold_throughout || most <= bound, "{} from {} ms on", most, from);
        }
    }
}
