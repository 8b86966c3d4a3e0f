//! Tests of the measured load of keys.

use super::KeyMeter;

/// The load of all keys in requests per second.
fn total_per_s(meter: &KeyMeter) -> f64 {
    meter.load_ranges().iter().map(|it| it.milli_per_s as f64 / 1_000.0).sum()
}

/// Adds the requests of half a second, spread over 200 keys.
fn run_step(meter: &mut KeyMeter, requests: u16) {
    for index in 0..requests {
        meter.add(40_000 + index % 200);
    }
    meter.decay();
}

/// Guards against an owner that is overloaded for seconds before the planner knows by how much.
#[test]
fn a_surge_shows_almost_in_full_within_a_second() {
    let mut meter = KeyMeter::new();
    for _ in 0..20 {
        run_step(&mut meter, 10);
    }
    for _ in 0..2 {
        run_step(&mut meter, 140);
    }
    let per_s = total_per_s(&meter);
    assert!((220.0..300.0).contains(&per_s), "{per_s} of 280 requests per second");
}

/// Guards against keys that move because a few requests came close together.
#[test]
fn a_few_requests_more_than_usual_are_no_surge() {
    let mut meter = KeyMeter::new();
    for _ in 0..20 {
        run_step(&mut meter, 5);
    }
    run_step(&mut meter, 10);
    let per_s = total_per_s(&meter);
    assert!(per_s < 14.0, "{per_s} requests per second, 10 as a rule");
}

#[test]
fn a_load_that_stays_is_measured_as_it_is() {
    let mut meter = KeyMeter::new();
    for _ in 0..20 {
        run_step(&mut meter, 100);
    }
    let per_s = total_per_s(&meter);
    assert!((195.0..205.0).contains(&per_s), "{per_s} of 200 requests per second");
}
