//! Checks that all nodes refuse a request that crashes its targets, and none that is innocent.

use crate::crashing_deployment::{CrashingDeployment, Disturbances};

const RUN_MS: u64 = 40_000;

/// How often the crashing request may reach targets later than the limit.
const MAX_LATE_ARRIVALS: usize = 3;

fn check(disturbances: Disturbances) {
    let mut refusals = 0;
    for seed in 0..60 {
        let mut deployment = CrashingDeployment::new(seed, 6, disturbances);
        deployment.run_until(RUN_MS);
        let late = deployment.late_arrivals;
        assert!(late <= MAX_LATE_ARRIVALS, "seed {seed}: {late} late arrivals");
        let refused = deployment.refused_innocents;
        assert_eq!(refused, 0, "seed {seed}: the popular request is refused");
        refusals += deployment.refusals;
    }
    assert!(refusals > 0, "the runs show nothing");
}

/// Guards against requests that reach targets again and again that they crash.
#[test]
fn repeats_of_a_request_that_crashes_its_targets_are_refused_at_all_nodes() {
    check(Disturbances::default());
}

#[test]
fn they_are_refused_while_the_store_is_down_and_nodes_are_cut_off() {
    check(Disturbances { cuts: true, store_down: true, ..Disturbances::default() });
}

#[test]
fn they_are_refused_by_nodes_that_restart_while_the_store_is_down() {
    check(Disturbances { restarts: true, store_down: true, ..Disturbances::default() });
}

#[test]
fn they_are_refused_after_the_restart_of_all_nodes() {
    check(Disturbances { restart_of_all: true, ..Disturbances::default() });
}

#[test]
fn a_popular_request_is_served_while_racks_of_targets_crash() {
    check(Disturbances { cuts: true, restarts: true, racks_fail: true, ..Disturbances::default() });
}
