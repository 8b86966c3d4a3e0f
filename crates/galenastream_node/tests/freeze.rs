//! Processes are paused for longer than a lease and go on as if nothing had happened.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use support::{Cluster, ReservationLoad, SETTINGS, take_turn};

/// What is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Paused {
    Vm,
    Node,
    Target,
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_paused() {
    pause_owner("owner-paused", Paused::Vm, &["--check-grants"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_node_of_an_owner_is_paused() {
    pause_owner("node-paused", Paused::Node, &["--check-grants"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_target_of_an_owner_is_paused() {
    pause_owner("target-paused", Paused::Target, &["--check-grants"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_target_does_not_check_grants_is_paused() {
    pause_owner("unchecked-paused", Paused::Vm, &[]).await;
}

async fn pause_owner(name: &str, paused: Paused, target_arguments: &[&str]) {
    let _turn = take_turn().await;
    let cluster = Cluster::start_with(name, 3, SETTINGS, target_arguments).await;
    let coordinator = cluster.coordinator().await;
    let owner = (coordinator + 1) % 3;
    let keys = cluster.keys_of(owner, 6).await;
    let reservations = ReservationLoad::start_running(&cluster, &keys).await;
    let entry = cluster.vms[coordinator].caller_address;
    let vm = &cluster.vms[owner];

    match paused {
        Paused::Vm => vm.freeze().unwrap(),
        Paused::Node => vm.node.freeze().unwrap(),
        Paused::Target => vm.target.freeze().unwrap(),
    }
    for key in &keys {
        cluster.wait_until_moved(entry, key, vm).await;
    }
    match paused {
        Paused::Vm => vm.resume().unwrap(),
        Paused::Node => vm.node.resume().unwrap(),
        Paused::Target => vm.target.resume().unwrap(),
    }
    finish(&cluster, reservations).await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_coordinator_is_paused() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("coordinator-paused", 3).await;
    let coordinator = cluster.coordinator().await;
    let mut keys = cluster.keys_of(coordinator, 3).await;
    keys.extend(cluster.keys_without(coordinator, 2).await);
    let reservations = ReservationLoad::start_running(&cluster, &keys).await;
    let entry = cluster.entries_without(coordinator)[0];
    let vm = &cluster.vms[coordinator];

    vm.freeze().unwrap();
    for key in &keys[..3] {
        cluster.wait_until_moved(entry, key, vm).await;
    }
    vm.resume().unwrap();
    finish(&cluster, reservations).await;
    assert_ne!(cluster.coordinator().await, coordinator);
    cluster.close();
}

/// Goes on until all VMs take part again, then checks what the callers were told.
async fn finish(cluster: &Cluster, load: ReservationLoad) {
    cluster.wait_until_ready().await;
    load.wait_for_more().await;
    let report = load.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
}
