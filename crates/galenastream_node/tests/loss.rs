//! VMs are lost for good: the owner of keys, the coordinator, a witness.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use support::{Cluster, ReadLoad, ReservationLoad, take_turn};

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_lost() {
    let _turn = take_turn().await;
    let mut cluster = Cluster::start("owner-lost", 3).await;
    let coordinator = cluster.coordinator().await;
    let owner = (coordinator + 1) % 3;
    let lost_keys = cluster.keys_of(owner, 3).await;
    let other_keys = cluster.keys_without(owner, 2).await;
    let entries = cluster.entries_without(owner);
    let reads = ReadLoad::start(&entries, &other_keys);
    let reservations =
        ReservationLoad::start_running(&cluster, &[&lost_keys[..], &other_keys].concat()).await;

    let lost = cluster.vms.remove(owner).kill().unwrap();
    for key in &lost_keys {
        cluster.wait_until_served(entries[0], key).await;
    }
    reservations.wait_for_more().await;

    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "keys of other VMs were not served: {:?}", reads.failed);
    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    cluster.restart(&lost);
    cluster.wait_until_ready().await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_coordinator_is_lost() {
    let _turn = take_turn().await;
    let mut cluster = Cluster::start("coordinator-lost", 3).await;
    let coordinator = cluster.coordinator().await;
    let lost_keys = cluster.keys_of(coordinator, 3).await;
    let other_keys = cluster.keys_without(coordinator, 2).await;
    let keys_without_routes = cluster.keys_without(coordinator, 20).await;
    let entries = cluster.entries_without(coordinator);
    let reads = ReadLoad::start(&entries, &other_keys);
    let reservations =
        ReservationLoad::start_running(&cluster, &[&lost_keys[..], &other_keys].concat()).await;

    let lost = cluster.vms.remove(coordinator).kill().unwrap();
    for key in &keys_without_routes {
        for entry in &entries {
            let answer = cluster.read(*entry, key).await.unwrap();
            assert_eq!(answer.outcome(), "ran", "{key} through {entry}: {answer:?}");
        }
    }
    for key in &lost_keys {
        cluster.wait_until_served(entries[0], key).await;
    }
    cluster.coordinator().await;
    reservations.wait_for_more().await;

    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "keys of other VMs were not served: {:?}", reads.failed);
    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    cluster.restart(&lost);
    cluster.wait_until_ready().await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_owner_and_then_the_next_coordinator_are_lost() {
    let _turn = take_turn().await;
    // Two VMs in each place, so that three places are left whichever two VMs are lost.
    let mut cluster = Cluster::start("two-lost", 6).await;
    let first = cluster.coordinator().await;
    let keys = cluster.keys_without(first, 2).await;
    let reservations = ReservationLoad::start_running(&cluster, &keys).await;

    cluster.vms.remove(first).kill().unwrap();
    let second = cluster.coordinator().await;
    cluster.wait_until_ready().await;
    cluster.wait_until_witnesses_live().await;
    cluster.vms.remove(second).kill().unwrap();
    cluster.coordinator().await;
    let entry = cluster.vms[0].caller_address;
    for key in &keys {
        cluster.wait_until_served(entry, key).await;
    }
    reservations.wait_for_more().await;

    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    cluster.close();
}
