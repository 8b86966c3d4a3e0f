//! Tests of targets that announce in their responses that they leave.

use std::time::{Duration, Instant};

use futures::future::join_all;
use galenastream_adapter::header_names;
use galenastream_standin::{
    LocalDeployment, LocalVm, SentRequest, StoreFault, TargetAnnouncement, TargetArrival,
    wait_until,
};

use super::{
    TIMEOUT, WORKS,
    announcement_load::{entries, load_from, load_path},
    deployment::{send_heartbeat, start},
};

/// The drain period in the settings of the stand-ins.
const DRAIN_TIME: Duration = Duration::from_secs(2);

const LEAVING: TargetAnnouncement = TargetAnnouncement { limit: None, is_leaving: true };

/// Asserts that no request reaches a leaving target that its caller sent after the drain period,
/// which starts for each VM when its node passes on the first response with the announcement.
fn assert_left_alone(deployment: &LocalDeployment, target_vm: usize, sent: &[SentRequest]) {
    let arrivals = deployment.vms[target_vm].target.arrivals();
    let mut late = Vec::new();
    let mut announcing_vms = 0;
    for vm in 0..deployment.vms.len() {
        let from_vm = || sent.iter().filter(|it| it.vm == vm);
        let announces = |it: &&SentRequest| {
            it.answer.as_ref().is_some_and(|it| it.header(header_names::LEAVING).is_some())
        };
        let Some(passed_on_at) = from_vm().filter(announces).map(|it| it.answered_at).min() else {
            continue;
        };
        announcing_vms += 1;
        for request in from_vm().filter(|it| it.sent_at > passed_on_at + DRAIN_TIME) {
            if arrivals.iter().any(|it| it.request_id == request.id) {
                late.push((request.id.clone(), request.sent_at - passed_on_at));
            }
        }
    }
    assert!(announcing_vms > 0, "no node has passed on the announcement");
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against requests to a target that has announced its leave in its responses alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_announces_its_leave_gets_no_request_after_the_drain_period() {
    let deployment = start("leave-announced", &["stock", "stock", "carts"]).await;
    deployment.vms[0].target.announce(LEAVING);
    let began_at = Instant::now();
    let sent = load_path(&deployment, "/stock/1", false, DRAIN_TIME * 2).await;
    assert_left_alone(&deployment, 0, &sent);
    let is_after_drain = |it: &&SentRequest| it.sent_at > began_at + DRAIN_TIME;
    for request in sent.iter().filter(is_after_drain) {
        assert_eq!(request.status(), 200, "the other target serves: {request:?}");
    }
    deployment.close().unwrap();
}

/// Guards against keys that stay with a target that has announced its leave.
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_target_that_announces_its_leave_are_served_by_another() {
    let deployment = start("leave-keys", &["carts", "carts", "stock"]).await;
    deployment.vms[0].target.announce(LEAVING);
    let began_at = Instant::now();
    let sent = load_path(&deployment, "/carts/1", true, DRAIN_TIME * 2).await;
    assert_left_alone(&deployment, 0, &sent);
    for request in sent.iter().filter(|it| it.sent_at > began_at + DRAIN_TIME) {
        assert_eq!(request.status(), 200, "the next owner serves: {request:?}");
    }
    deployment.close().unwrap();
}

/// Guards against a leave that is forgotten when the node beside the target restarts. The heartbeats
/// of the target do not show that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_holds_when_the_node_beside_the_target_restarts() {
    let mut deployment = start("leave-restart", &["stock", "carts", "carts"]).await;
    deployment.vms[0].target.announce(LEAVING);
    let began_at = Instant::now();
    let load = load_from(entries(&deployment, 1), "/stock/1", false, DRAIN_TIME * 3);
    let restart = async {
        tokio::time::sleep(DRAIN_TIME / 4).await;
        deployment.vms[0].kill_node().unwrap();
        deployment.vms[0].start_node().unwrap();
    };
    let (sent, ()) = tokio::join!(load, restart);
    assert_left_alone(&deployment, 0, &sent);
    // No other target can take the requests, so they are refused with a time to come back.
    for request in sent.iter().filter(|it| it.sent_at > began_at + DRAIN_TIME + DRAIN_TIME / 4) {
        let retry_after = request.answer.as_ref().and_then(|it| it.header("retry-after"));
        assert_eq!((request.status(), retry_after.is_some()), (503, true), "{request:?}");
    }
    deployment.close().unwrap();
}

/// Guards against a deregistration that is forgotten when the node that acknowledged it restarts.
/// Heartbeats go on, and neither they nor the responses show that the target leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_holds_when_the_node_that_acknowledged_it_restarts() {
    let mut deployment = start("deregister-restart", &["stock", "carts", "carts"]).await;
    let load = load_from(entries(&deployment, 1), "/stock/1", false, DRAIN_TIME * 3);
    let leave = async {
        tokio::time::sleep(DRAIN_TIME / 4).await;
        deployment.vms[0].target.deregister().await.unwrap();
        let acknowledged_at = Instant::now();
        tokio::time::sleep(DRAIN_TIME / 4).await;
        deployment.vms[0].kill_node().unwrap();
        deployment.vms[0].start_node().unwrap();
        acknowledged_at
    };
    let (_, acknowledged_at) = tokio::join!(load, leave);
    let arrivals = deployment.vms[0].target.arrivals();
    let is_late = |it: &&TargetArrival| it.arrived_at > acknowledged_at + DRAIN_TIME;
    assert_eq!(arrivals.iter().filter(is_late).count(), 0);
    deployment.close().unwrap();
}

/// How long a target waits for an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after its start a node may not know yet that the target beside it leaves: less than the
/// time after which the platform counts on it again.
const START_TIME: Duration = Duration::from_millis(2_500);

/// Sends requests through the first VM for a while, and returns how many of them reached the target
/// there after an instant.
async fn arrivals_beside(deployment: &LocalDeployment, after: Instant) -> usize {
    let vm = &deployment.vms[0];
    wait_until("the node to serve again", TIMEOUT, async || vm.reaches("stock").await)
        .await
        .expect(WORKS);
    let mut answered = 0;
    while Instant::now() < after + DRAIN_TIME {
        let Ok(mut caller) = vm.caller().await else {
            continue;
        };
        let answer = caller.post("/orders/1", &format!("beside-{answered}")).await;
        answered += usize::from(answer.is_some_and(|it| it.status == 200));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(answered > 0, "the other target serves");
    vm.target.arrivals().iter().filter(|it| it.arrived_at > after).count()
}

/// Guards against requests of the callers beside a target to it, after a restart of the node that
/// acknowledged its deregistration. Only late heartbeats follow, which say that the target is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_holds_for_the_callers_of_a_node_that_restarts() {
    let mut deployment = start("deregister-beside", &["stock", "stock"]).await;
    deployment.vms[0].target.deregister().await.unwrap();
    let acknowledged_at = Instant::now();
    deployment.vms[0].kill_node().unwrap();
    deployment.vms[0].start_node().unwrap();
    let after = acknowledged_at + DRAIN_TIME.max(START_TIME);
    assert_eq!(arrivals_beside(&deployment, after).await, 0);
    deployment.close().unwrap();
}

/// Guards against a deregistration that is forgotten when all processes end right after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_holds_when_all_nodes_restart() {
    let mut deployment = start("deregister-herd", &["stock", "stock"]).await;
    deployment.vms[0].target.deregister().await.unwrap();
    let acknowledged_at = Instant::now();
    for vm in &mut deployment.vms {
        vm.kill_node().unwrap();
    }
    for vm in &mut deployment.vms {
        vm.start_node().unwrap();
    }
    let after = acknowledged_at + DRAIN_TIME.max(START_TIME);
    assert_eq!(arrivals_beside(&deployment, after).await, 0);
    deployment.close().unwrap();
}

/// Guards against a deregistration that is forgotten because the store was away when it was
/// acknowledged: the other nodes remember it.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_during_a_store_outage_holds_when_the_node_restarts() {
    let mut deployment = start("deregister-outage", &["stock", "stock"]).await;
    deployment.store.set_fault(StoreFault::Refuse(503));
    wait_until("the outage to be known", TIMEOUT, async || {
        deployment.vms[0].log().iter().any(|it| it["kvs"]["event"] == "store_lost")
    })
    .await
    .expect(WORKS);
    deployment.vms[0].target.deregister().await.unwrap();
    // The other node hears of it with the next status.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let acknowledged_at = Instant::now();
    deployment.vms[0].kill_node().unwrap();
    deployment.vms[0].start_node().unwrap();
    let after = acknowledged_at + DRAIN_TIME.max(START_TIME);
    assert_eq!(arrivals_beside(&deployment, after).await, 0);
    deployment.close().unwrap();
}

/// Guards against an acknowledgement that comes so late that the target does not wait for it: the
/// store is slower than targets wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_is_acknowledged_in_time_while_the_store_is_slow() {
    let deployment = start("deregister-slow", &["stock"]).await;
    deployment.store.set_fault(StoreFault::Slow(Duration::from_secs(3)));
    let began_at = Instant::now();
    deployment.vms[0].target.deregister().await.unwrap();
    assert!(began_at.elapsed() < ACKNOWLEDGEMENT_TIMEOUT, "{:?}", began_at.elapsed());
    deployment.close().unwrap();
}

/// How long after its start, or after the return of the store, the platform counts on a node.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// How long the store stays away after nodes have started; longer than these wait for a first answer.
const OUTAGE_TIME: Duration = Duration::from_secs(1);

/// How a target of [`leave_during_outage`] says that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaveCall {
    Deregistration,
    /// A deregistration after which heartbeats go on and say that the target is ready.
    DeregistrationAmidHeartbeats,
    DrainingHeartbeat,
}

/// How the nodes of [`leave_during_outage`] end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodesEnd {
    AllKilled,
    KilledInTurn,
    Stopped,
}

/// How often the node of a VM has started.
fn start_count(vm: &LocalVm) -> usize {
    vm.log().iter().filter(|it| it["kvs"]["event"] == "process_started").count()
}

/// Returns how many requests reach a target that has left, later than the platform allows. Its leave is
/// acknowledged while the store is away, and all processes end before that is back. `late_heartbeats`
/// from before the leave arrive at the first node after its start.
async fn leave_during_outage(
    name: &str,
    call: LeaveCall,
    nodes_end: NodesEnd,
    late_heartbeats: &[Duration],
) -> usize {
    let mut deployment = start(name, &["stock", "carts"]).await;
    deployment.store.set_fault(StoreFault::Refuse(503));
    wait_until("the outage to be known", TIMEOUT, async || {
        deployment.vms[0].log().iter().any(|it| it["kvs"]["event"] == "store_lost")
    })
    .await
    .expect(WORKS);
    if call != LeaveCall::DeregistrationAmidHeartbeats {
        deployment.vms[0].target.stop_heartbeats();
    }
    match call {
        LeaveCall::Deregistration | LeaveCall::DeregistrationAmidHeartbeats => {
            deployment.vms[0].target.deregister().await.expect(WORKS);
        }
        LeaveCall::DrainingHeartbeat => {
            assert_eq!(send_heartbeat(&deployment.vms[0], "t-0", "draining", 1_002).await, 200);
        }
    }
    for vm in &mut deployment.vms {
        match nodes_end {
            NodesEnd::AllKilled => vm.kill_node().expect(WORKS),
            NodesEnd::KilledInTurn => {
                vm.kill_node().expect(WORKS);
                vm.start_node().expect(WORKS);
                wait_until("the node to start", TIMEOUT, async || start_count(vm) == 2)
                    .await
                    .expect(WORKS);
            }
            NodesEnd::Stopped => {}
        }
    }
    if nodes_end == NodesEnd::Stopped {
        let stopped = join_all(deployment.vms.iter_mut().map(LocalVm::stop_node)).await;
        assert!(stopped.into_iter().all(|it| it.expect(WORKS).success()));
    }
    if nodes_end != NodesEnd::KilledInTurn {
        for vm in &mut deployment.vms {
            vm.start_node().expect(WORKS);
        }
    }
    let started_at = Instant::now();
    let late = async {
        for (index, delay) in late_heartbeats.iter().enumerate() {
            tokio::time::sleep_until((started_at + *delay).into()).await;
            let sequence = 1_000 + index as u64;
            assert_eq!(send_heartbeat(&deployment.vms[0], "t-0", "ready", sequence).await, 200);
        }
    };
    let outage = async {
        tokio::time::sleep_until((started_at + OUTAGE_TIME).into()).await;
        deployment.store.set_fault(StoreFault::None);
        Instant::now()
    };
    let ((), back_at) = tokio::join!(late, outage);
    tokio::time::sleep_until((back_at + STABLE_TIME).into()).await;
    let target = &deployment.vms[0].target;
    let arrivals_before = target.arrivals().len();
    load_from(entries(&deployment, 0), "/orders/1", false, DRAIN_TIME).await;
    let late_arrivals = deployment.vms[0].target.arrivals().len() - arrivals_before;
    deployment.close().expect(WORKS);
    late_arrivals
}

/// Guards against a leave that no row has, since the store was away, and that is forgotten when all
/// processes are killed. One late heartbeat made the target ready again.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_during_a_store_outage_holds_when_all_nodes_are_killed() {
    let late = [Duration::from_millis(1_400)];
    let call = LeaveCall::Deregistration;
    let arrivals = leave_during_outage("outage-herd", call, NodesEnd::AllKilled, &late).await;
    assert_eq!(arrivals, 0);
}

/// Guards against a target that is ready again after two late heartbeats at their usual interval.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_during_a_store_outage_holds_when_two_late_heartbeats_follow() {
    let late = [1_200, 1_400].map(Duration::from_millis);
    let call = LeaveCall::DrainingHeartbeat;
    let arrivals = leave_during_outage("outage-drain", call, NodesEnd::AllKilled, &late).await;
    assert_eq!(arrivals, 0);
}

/// Guards against a target that is ready again since its heartbeats go on as before: its leave was a
/// deregistration, and only its health checks show it.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_during_a_store_outage_holds_while_ready_heartbeats_go_on() {
    let call = LeaveCall::DeregistrationAmidHeartbeats;
    let arrivals = leave_during_outage("outage-beats", call, NodesEnd::AllKilled, &[]).await;
    assert_eq!(arrivals, 0);
}

/// Guards against a leave that the nodes forget when they are killed one after the other: each of them
/// hears only of nodes that have started since.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_during_a_store_outage_holds_when_nodes_are_killed_in_turn() {
    let late = [Duration::from_millis(400)];
    let call = LeaveCall::Deregistration;
    let arrivals = leave_during_outage("outage-turns", call, NodesEnd::KilledInTurn, &late).await;
    assert_eq!(arrivals, 0);
}

/// Guards against a leave that no row has when the node that acknowledged it is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_deregistration_during_a_store_outage_holds_when_all_nodes_are_stopped() {
    let late = [Duration::from_millis(1_400)];
    let call = LeaveCall::Deregistration;
    let arrivals = leave_during_outage("outage-stop", call, NodesEnd::Stopped, &late).await;
    assert_eq!(arrivals, 0);
}

/// Guards against a running target that stays unused after its node has restarted during a store
/// outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_stays_is_used_after_its_node_restarts_during_a_store_outage() {
    let mut deployment = start("outage-stays", &["stock"]).await;
    deployment.store.set_fault(StoreFault::Refuse(503));
    deployment.vms[0].kill_node().unwrap();
    deployment.vms[0].start_node().unwrap();
    let started_at = Instant::now();
    tokio::time::sleep_until((started_at + OUTAGE_TIME).into()).await;
    deployment.store.set_fault(StoreFault::None);
    while started_at.elapsed() < Duration::from_secs(6) {
        if started_at.elapsed() > STABLE_TIME {
            assert!(deployment.vms[0].reaches("stock").await);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let log = deployment.vms[0].log();
    assert!(!log.iter().any(|it| it["kvs"]["event"] == "target_withheld"));
    deployment.close().unwrap();
}
