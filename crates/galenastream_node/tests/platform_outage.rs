//! The platform does not answer, or its answers are lost, while VMs are lost too.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use galenastream_standin::PlatformFaults;
use support::{Cluster, ReadLoad, ReservationLoad, take_turn};

const OUTAGE_MS: u64 = 10_000;

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_lost_while_the_platform_is_down() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("owner-outage", 3).await;
    let coordinator = cluster.coordinator().await;
    lose_during_outage(cluster, (coordinator + 1) % 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_coordinator_is_lost_while_the_platform_is_down() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("coordinator-outage", 3).await;
    let coordinator = cluster.coordinator().await;
    lose_during_outage(cluster, coordinator).await;
}

async fn lose_during_outage(mut cluster: Cluster, index: usize) {
    let lost_keys = cluster.keys_of(index, 3).await;
    let other_keys = cluster.keys_without(index, 2).await;
    let entries = cluster.entries_without(index);
    let reservations =
        ReservationLoad::start_running(&cluster, &[&lost_keys[..], &other_keys].concat()).await;
    let reads = ReadLoad::start(&entries, &other_keys);

    let outage = PlatformFaults { outage_ms: OUTAGE_MS, ..PlatformFaults::default() };
    cluster.platform.set_table_faults(outage);
    cluster.platform.set_object_faults(outage);
    cluster.vms.remove(index).kill().unwrap();
    // The lost keys cannot be assigned before the platform answers again.
    for key in &lost_keys {
        cluster.wait_until_served(entries[0], key).await;
    }
    reservations.wait_for_more().await;

    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "keys of other VMs were not served: {:?}", reads.failed);
    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answers_to_writes_are_lost() {
    let _turn = take_turn().await;
    let mut cluster = Cluster::start("answers-lost", 3).await;
    let coordinator = cluster.coordinator().await;
    let owner = (coordinator + 1) % 3;
    let lost_keys = cluster.keys_of(owner, 3).await;
    let entries = cluster.entries_without(owner);
    let reservations = ReservationLoad::start_running(&cluster, &lost_keys).await;

    let faults = PlatformFaults { drop_answer_after_apply: 3, ..PlatformFaults::default() };
    cluster.platform.set_table_faults(faults);
    cluster.vms.remove(owner).kill().unwrap();
    for key in &lost_keys {
        cluster.wait_until_served(entries[0], key).await;
    }
    reservations.wait_for_more().await;

    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    cluster.close();
}
