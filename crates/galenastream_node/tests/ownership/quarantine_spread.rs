//! Checks that all nodes refuse a request that crashes its targets, and none that is innocent.

use std::sync::Arc;

use galenastream_node::{ControlEvent, ControlState, RequestQuarantine};
use galenastream_routing::{RequestFingerprint, Suspicion};
use galenastream_wire::{CrashEntry, SuspectRecord};

use crate::{
    crashing_deployment::{CrashingDeployment, Disturbances},
    fixtures::settings,
    simulation::at,
};

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

/// Guards against a node that refuses nothing after its restart, long after the last crash, while the
/// store is down.
#[test]
fn a_node_that_restarts_while_the_store_is_down_learns_the_quarantine_from_a_status() {
    let request = RequestFingerprint::from_bytes(&[7; 16]).expect("16 bytes");
    let (first, second) = (Arc::new(RequestQuarantine::new()), Arc::new(RequestQuarantine::new()));
    let crash = |id| CrashEntry { id, was_suspected: id > 1, is_cleared: false };
    let record = SuspectRecord {
        fingerprint: vec![7; 16].into(),
        crashes: (1..=3).map(crash).collect(),
        ..Default::default()
    };
    first.merge(&record, at(1_000));
    let mut running = ControlState::new(settings(0), at(0)).with_quarantine(first.clone());
    let mut restarted = ControlState::new(settings(1), at(90_000)).with_quarantine(second.clone());
    let status = restarted.status(at(90_100));
    running.handle(ControlEvent::peer_status(status), at(90_110));
    let mut status = running.status(at(91_000));
    assert!(status.suspects.is_empty(), "the crashes are long past: {status:?}");
    let directory = running.directory(at(91_000));
    first.add_missing(&mut status, directory.nodes[1].quarantine_digest);
    restarted.handle(ControlEvent::peer_status(status), at(91_010));
    assert_eq!(second.suspicion(request), Suspicion::Quarantined);
    // Once both refuse the same requests, statuses carry no records.
    running.handle(ControlEvent::peer_status(restarted.status(at(100_000))), at(100_010));
    let mut status = running.status(at(101_000));
    let directory = running.directory(at(101_000));
    first.add_missing(&mut status, directory.nodes[1].quarantine_digest);
    assert!(status.suspects.is_empty(), "{status:?}");
}
