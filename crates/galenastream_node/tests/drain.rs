//! Targets and nodes leave without a failed request, and slices move as planned.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use galenastream_ownership::WITNESS_COUNT;
use galenastream_standin::wait_until;
use http::StatusCode;
use support::{Cluster, ReadLoad, ReservationLoad, WAIT_LIMIT, take_turn};

#[tokio::test(flavor = "multi_thread")]
async fn a_node_stops_gracefully() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("node-stops", 3).await;
    let leaving = (cluster.coordinator().await + 1) % 3;
    stop_without_failures(cluster, leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_coordinator_stops_gracefully() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("coordinator-stops", 3).await;
    let leaving = cluster.coordinator().await;
    stop_without_failures(cluster, leaving).await;
}

async fn stop_without_failures(mut cluster: Cluster, leaving: usize) {
    let mut keys = cluster.keys_of(leaving, 4).await;
    keys.extend(cluster.keys_without(leaving, 2).await);
    let entries = cluster.entries_without(leaving);
    let reads = ReadLoad::start(&entries, &keys);
    let reservations = ReservationLoad::start(&entries, &keys);
    wait_until("requests to run", WAIT_LIMIT, async || {
        reads.answered() > 100 && reservations.ran() > 50
    })
    .await
    .unwrap();

    let vm = cluster.vms.remove(leaving);
    let status = vm.node.terminate().await.unwrap();
    assert!(status.success(), "{status}");
    let answered = reads.answered();
    wait_until("more reads", WAIT_LIMIT, async || reads.answered() > answered + 500).await.unwrap();

    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "{:?}", reads.failed);
    let report = reservations.stop().await;
    assert_eq!(report.contradictions(&cluster.judge()), Vec::<String>::new());
    drop(vm.target);
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_drained_by_an_operator() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("target-drained", 3).await;
    let leaving = (cluster.coordinator().await + 1) % 3;
    let mut keys = cluster.keys_of(leaving, 4).await;
    keys.extend(cluster.keys_without(leaving, 2).await);
    let reads = ReadLoad::start(&cluster.entries(), &keys);
    wait_until("reads to be answered", WAIT_LIMIT, async || reads.answered() > 100).await.unwrap();

    let vm = &cluster.vms[leaving];
    wait_until("a node that is no coordinator to name the witnesses", WAIT_LIMIT, async || {
        let cells = cluster.cells(vm).await;
        cells.is_some_and(|it| it.cells[0].witnesses.len() == WITNESS_COUNT)
    })
    .await
    .unwrap();
    let answer = cluster.admin_post(vm, "/admin/drain", "").await;
    assert!(answer.status.is_success());
    let order = r#"{"service":"catalogue"}"#;
    let answer = cluster.admin_post(vm, "/admin/takeover", order).await;
    assert_eq!(answer.status, StatusCode::CONFLICT, "a node that drains takes nothing over");
    wait_until("the slices to move away", WAIT_LIMIT, async || cluster.held_slices(vm).await == 0)
        .await
        .unwrap();
    assert!(!vm.is_ready(&cluster.caller).await);
    let answered = reads.answered();
    wait_until("more reads", WAIT_LIMIT, async || reads.answered() > answered + 500).await.unwrap();

    // The drained node still takes requests in and passes them on.
    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "{:?}", reads.failed);
    assert_eq!(cluster.judge().breaches(), Vec::new());
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slice_moves_as_an_operator_orders() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("slice-moves", 3).await;
    let coordinator = cluster.coordinator().await;
    let from = (coordinator + 1) % 3;
    let to = (coordinator + 2) % 3;
    let keys = cluster.keys_of(from, 1).await;
    let reads = ReadLoad::start(&cluster.entries(), &keys);
    wait_until("reads to be answered", WAIT_LIMIT, async || reads.answered() > 20).await.unwrap();

    let order = format!(
        r#"{{"service":"catalogue","key":"{}","to":"{}"}}"#,
        keys[0], cluster.vms[to].vm_address
    );
    let answer = cluster.admin_post(&cluster.vms[coordinator], "/admin/move", &order).await;
    assert!(answer.status.is_success(), "{answer:?}");
    wait_until("the key to move", WAIT_LIMIT, async || cluster.owner_of(&keys[0]).await == to)
        .await
        .unwrap();

    let reads = reads.stop().await;
    assert!(reads.failed.is_empty(), "{:?}", reads.failed);
    assert_eq!(cluster.judge().breaches(), Vec::new());
    cluster.close();
}
