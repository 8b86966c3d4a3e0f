//! Tests of targets that tell that they are slow at the moment.

use std::time::Duration;

use galenastream_routing::{Admission, AdmissionLimits, AdmitDecision, Class, Deadline, ToldLoad};
use galenastream_utils::BootInstant;

const USUAL_MS: u64 = 140;
const SOFT_MS: u32 = 500;
const CLASS: Class = Class::new(0, 255).with_alternatives(true);

fn at(ms: u64) -> BootInstant {
    BootInstant::new(1_000_000_000) + Duration::from_millis(ms)
}

fn admission() -> Admission {
    let limits = AdmissionLimits {
        slots: 18,
        queue_limit: 72,
        queue_wait_ms: 10_000,
        retry_after_ms: 50,
        ramp_up_ms: 0,
    };
    let mut admission = Admission::new(limits, at(0));
    admission.assume_service_time(CLASS, Duration::from_millis(USUAL_MS));
    admission
}

fn told(pace_percent: u32) -> ToldLoad {
    ToldLoad { running: 0, pace_percent }
}

/// Teaches an admission what the word of the target means.
fn learn(admission: &mut Admission, slow_ms: u64) {
    for _ in 0..100 {
        admission.add_slow_service_time(CLASS, Duration::from_millis(slow_ms));
    }
}

fn starts(admission: &mut Admission, class: Class, now_ms: u64) -> bool {
    let soft_deadline = Deadline::new(at(now_ms), SOFT_MS);
    let deadline = Deadline::new(at(now_ms), 2_000);
    let outcome = admission.arrive_with_soft_deadline(at(now_ms), class, soft_deadline, deadline);
    outcome.decision == AdmitDecision::Start
}

/// Load: a neighbour makes the target four times slower for some tenths of a second.
#[test]
fn an_urgent_request_goes_elsewhere_while_the_target_is_too_slow_for_it() {
    let mut admission = admission();
    learn(&mut admission, USUAL_MS * 4);
    admission.record_told_load(at(1_000), told(400));
    assert!(!starts(&mut admission, CLASS, 1_010));
    assert!(starts(&mut admission, CLASS.with_alternatives(false), 1_010), "it has nowhere to go");
    assert!(starts(&mut admission, CLASS, 1_150), "what was told is too old");
    admission.record_told_load(at(1_200), told(400));
    admission.record_told_load(at(1_210), told(100));
    assert!(starts(&mut admission, CLASS, 1_215), "the turn of the neighbour has ended");
}

/// Load: the same, with requests whose work takes most of their target latency anyway, and with ones
/// that would be late at any target.
#[test]
fn a_request_that_gains_little_elsewhere_stays() {
    let mut admission = admission();
    learn(&mut admission, USUAL_MS * 4);
    admission.record_told_load(at(1_000), told(400));
    let tight = CLASS.with_target_latency_ms(USUAL_MS as u32 + 100);
    assert!(starts(&mut admission, tight, 1_010));
    assert!(!starts(&mut admission, CLASS.with_target_latency_ms(SOFT_MS), 1_010));
    let late = Deadline::new(at(1_010), USUAL_MS as u32 / 2);
    let deadline = Deadline::new(at(1_010), 2_000);
    let outcome = admission.arrive_with_soft_deadline(at(1_010), CLASS, late, deadline);
    assert_eq!(outcome.decision, AdmitDecision::Start);
}

/// Guards against one request that hangs, and against what was learnt of an earlier target.
#[test]
fn what_is_learnt_of_a_slow_target_is_bounded_and_ends_with_it() {
    let mut admission = admission();
    learn(&mut admission, 60_000);
    admission.record_told_load(at(1_000), told(400));
    assert!(!starts(&mut admission, CLASS, 1_010));
    admission.restart(at(1_020));
    admission.assume_service_time(CLASS, Duration::from_millis(USUAL_MS));
    admission.record_told_load(at(1_030), told(400));
    assert!(starts(&mut admission, CLASS, 1_040));
}

/// Guards against words that mean nothing.
#[test]
fn a_target_that_says_it_is_slow_and_is_not_keeps_its_requests() {
    let mut unproved = admission();
    unproved.record_told_load(at(1_000), told(400));
    assert!(starts(&mut unproved, CLASS, 1_010));
    let mut disproved = admission();
    learn(&mut disproved, USUAL_MS);
    disproved.record_told_load(at(1_000), told(400));
    assert!(starts(&mut disproved, CLASS, 1_010));
}

/// Guards against a target that tells of requests that nobody sent.
#[test]
fn a_target_whose_count_differs_from_that_of_its_node_is_not_believed() {
    let mut admission = admission();
    learn(&mut admission, USUAL_MS * 4);
    admission.record_told_load(at(1_000), ToldLoad { running: 12, pace_percent: 400 });
    assert!(starts(&mut admission, CLASS, 1_010));
}
