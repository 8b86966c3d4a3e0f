//! Tests of admission to a target that announces a request limit.

use std::time::Duration;

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, Deadline, RequestRate,
};
use galenastream_utils::BootInstant;
use proptest::prelude::*;

const CLASS: Class = Class::new(0, 100);

/// The service time of all requests.
const SERVICE_TIME_MS: u64 = 60;

/// The platform's rule: a target gets at most this share of its limit, and this many requests more,
/// in any window.
const WINDOW_MS: u64 = 4_000;
const MAX_RATIO: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;

/// The least share of its limit that a target gets while requests wait.
const MIN_RATIO: f64 = 0.9;

fn at(ms: u64) -> BootInstant {
    BootInstant::new(1_000_000_000) + Duration::from_millis(ms)
}

fn admission() -> Admission {
    let limits = AdmissionLimits {
        slots: 14,
        queue_limit: 28,
        queue_wait_ms: 10_000,
        retry_after_ms: 100,
        ramp_up_ms: 0,
    };
    let mut admission = Admission::new(limits, at(0));
    admission.assume_service_time(CLASS, Duration::from_millis(SERVICE_TIME_MS));
    admission
}

/// Replays arrivals `gap_ms` apart with a deadline of `wait_ms`, and the ends of the requests.
/// Returns the instants in milliseconds at which requests start. `limit_at` returns the limit.
fn start_times(
    gap_ms: u64,
    wait_ms: u32,
    end_ms: u64,
    limit_at: impl Fn(u64) -> Option<RequestRate>,
) -> Vec<u64> {
    let mut admission = admission();
    let mut limit = None;
    let mut started = Vec::new();
    for now_ms in 0..end_ms {
        let now = at(now_ms);
        if limit_at(now_ms) != limit {
            limit = limit_at(now_ms);
            let dequeued = admission.set_request_limit(now, limit);
            started.extend(dequeued.started.iter().map(|_| now_ms));
        }
        let ended = started.iter().filter(|it| **it + SERVICE_TIME_MS == now_ms).count();
        for _ in 0..ended {
            let service_time = Duration::from_millis(SERVICE_TIME_MS);
            let dequeued = admission.finish_answered(now, CLASS, service_time);
            started.extend(dequeued.started.iter().map(|_| now_ms));
        }
        if admission.next_start_at(now).is_some_and(|it| it <= now) {
            started.extend(admission.dequeue(now).started.iter().map(|_| now_ms));
        }
        if now_ms % gap_ms == 0 {
            let arrived = admission.arrive(now, CLASS, Deadline::new(now, wait_ms));
            started.extend((arrived.decision == AdmitDecision::Start).then_some(now_ms));
        }
    }
    started
}

fn most_in_window(started: &[u64]) -> usize {
    let windows = started.iter().enumerate().map(|(index, first)| {
        started[index..].iter().take_while(|it| **it < first + WINDOW_MS).count()
    });
    windows.max().unwrap_or(0)
}

fn allowed(per_s: f64) -> f64 {
    per_s * MAX_RATIO * WINDOW_MS as f64 / 1_000.0 + MAX_EXTRA
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn requests_start_at_the_rate_of_the_limit(
        milli_per_s in 0_u64..150_000,
        gap_ms in 1_u64..6,
        wait_ms in 300_u32..3_000,
    ) {
        let limit = RequestRate::new(milli_per_s);
        let started = start_times(gap_ms, wait_ms, 12_000, |_| Some(limit));
        let most = most_in_window(&started) as f64;
        prop_assert!(most <= allowed(limit.per_s()), "{most} at {limit}");
        // A request that arrives in the first moment may have waited for its token.
        let wanted = (limit.per_s() * 12.0).floor() * MIN_RATIO - 1.0;
        prop_assert!(started.len() as f64 >= wanted, "{} at {limit}", started.len());
    }

    /// Each process starts with an empty bucket, so restarts add nothing.
    #[test]
    fn restarts_of_the_node_beside_the_target_do_not_add_requests(
        milli_per_s in 0_u64..150_000,
        life_ms in 50_u64..2_000,
    ) {
        let limit = RequestRate::new(milli_per_s);
        let mut started = Vec::new();
        for life in 0..8_000 / life_ms {
            let times = start_times(2, 500, life_ms, |_| Some(limit));
            started.extend(times.iter().map(|it| it + life * life_ms));
        }
        let most = most_in_window(&started) as f64;
        prop_assert!(most <= allowed(limit.per_s()), "{most} at {limit}");
    }

    #[test]
    fn a_limit_that_comes_and_goes_is_never_exceeded_while_it_lasts(
        milli_per_s in 0_u64..100_000,
        on_ms in 4_000_u64..9_000,
        off_ms in 10_u64..3_000,
    ) {
        let limit = RequestRate::new(milli_per_s);
        let is_on = |ms: u64| ms % (on_ms + off_ms) < on_ms;
        let started = start_times(2, 500, 16_000, |ms| is_on(ms).then_some(limit));
        for first in (0..16_000 - WINDOW_MS).step_by(50) {
            if !(first..first + WINDOW_MS).all(is_on) {
                continue;
            }
            let count = started.iter().filter(|it| (first..first + WINDOW_MS).contains(*it)).count();
            prop_assert!(count as f64 <= allowed(limit.per_s()), "{count} from {first} at {limit}");
        }
    }
}

#[test]
fn requests_that_wait_when_a_limit_arrives_and_cannot_start_in_time_are_shed_at_once() {
    let mut admission = admission();
    let now = at(0);
    let deadline = Deadline::new(now, 500);
    let decisions: Vec<_> =
        (0..24).map(|_| admission.arrive(now, CLASS, deadline).decision).collect();
    assert_eq!(decisions.iter().filter(|it| **it == AdmitDecision::Start).count(), 14);
    assert_eq!(admission.waiting(), 10);
    // Ten requests per second leave room for about four in the time that is left.
    let dequeued = admission.set_request_limit(now, Some(RequestRate::new(10_000)));
    assert_eq!((dequeued.started.len(), dequeued.shed.len()), (0, 6));
    assert!(dequeued.shed.iter().all(|it| it.retry_after_ms >= 400), "{:?}", dequeued.shed);
    let late = admission.arrive(now, CLASS, deadline).decision;
    assert!(matches!(late, AdmitDecision::Shed { .. }), "{late:?}");
    assert!(admission.is_rate_limited(now));
}

#[test]
fn waiting_requests_start_when_a_limit_ends() {
    let mut admission = admission();
    admission.set_request_limit(at(0), Some(RequestRate::new(2_000)));
    let arrived = admission.arrive(at(0), CLASS, Deadline::new(at(0), 2_000));
    assert!(matches!(arrived.decision, AdmitDecision::Wait { .. }), "{arrived:?}");
    assert_eq!(admission.next_start_at(at(0)), Some(at(500)));
    assert_eq!(admission.set_request_limit(at(100), None).started.len(), 1);
    assert_eq!(admission.next_start_at(at(100)), None);
}

#[test]
fn a_target_that_takes_no_requests_gets_one_every_two_seconds_to_show_when_that_ends() {
    let started = start_times(5, 3_000, 20_500, |_| Some(RequestRate::new(0)));
    assert_eq!(started.len(), 10, "{started:?}");
}
