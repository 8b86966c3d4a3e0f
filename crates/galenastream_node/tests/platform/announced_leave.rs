//! Tests of targets that announce in their responses that they leave.

use std::time::{Duration, Instant};

use galenastream_adapter::header_names;
use galenastream_standin::{LocalDeployment, SentRequest, TargetAnnouncement, TargetArrival};

use super::{
    announcement_load::{entries, load_from, load_path},
    deployment::start,
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
