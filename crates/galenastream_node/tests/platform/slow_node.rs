//! Tests of nodes that react late.

use std::time::Duration;

use galenastream_standin::{
    CallerConnection, DeploymentPlan, LocalDeployment, VmLink, request_bytes, wait_until,
};
use tokio::time::sleep;

use super::deployment::{start, wait_for_confirmed_config};

/// How long the node does not react: a status is sent to it within the first second and times out
/// 1.2 s later.
const PAUSE: Duration = Duration::from_millis(2_350);

/// When the requests are sent, after the start of the pause and before any status has timed out.
const SENT_AFTER: Duration = Duration::from_millis(1_000);

/// Returns the bytes of a request whose caller waits until some time after the pause.
fn patient_request(method: &str, path: &str, id: &str) -> String {
    request_bytes(method, path, id, None).replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 1950")
}

/// Guards against requests that are given up, although they run, because the node beside the target
/// acknowledged a status too late.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_only_once_is_answered_by_a_node_that_was_slow() {
    let deployment = start("slow-node", &["carts", "stock"]).await;
    let mut caller = deployment.vms[0].caller().await.unwrap();
    assert_eq!(caller.post("/orders/1", "before").await.unwrap().status, 200);
    let node = deployment.vms[1].node().unwrap();
    node.suspend().unwrap();
    sleep(SENT_AFTER).await;
    caller.send(patient_request("POST", "/orders/1", "order").as_bytes()).await.unwrap();
    sleep(PAUSE - SENT_AFTER).await;
    node.resume().unwrap();
    let answer = caller.read().await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    let runs = deployment.vms[1].target.runs();
    assert_eq!(runs.iter().filter(|it| it.request_id == "order").count(), 1);
    deployment.close().unwrap();
}

/// Guards against requests that wait for a silent node until their deadlines although another target
/// could run them.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_elsewhere_when_its_node_is_silent() {
    let deployment = start("silent-node", &["carts", "stock", "stock"]).await;
    let entry = deployment.vms[0].callers_address();
    let node = deployment.vms[1].node().unwrap();
    node.suspend().unwrap();
    sleep(SENT_AFTER).await;
    let mut callers = Vec::new();
    for number in 0..8 {
        let mut caller = CallerConnection::connect(entry).await.unwrap();
        let id = format!("read-{number}");
        caller.send(patient_request("GET", "/stock/1", &id).as_bytes()).await.unwrap();
        callers.push(caller);
    }
    for caller in &mut callers {
        let answer = caller.read().await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    node.resume().unwrap();
    deployment.close().unwrap();
}

/// Guards against nodes that keep each connection whose other end went silent, until they can open no
/// more files.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_peers_that_went_silent_are_closed() {
    const NODES: usize = 4;
    const SILENCES: usize = 3;
    /// A status times out after 1.2 s and opens another connection within the next second.
    const REOPENED: Duration = Duration::from_secs(4);
    const CLOSED: Duration = Duration::from_secs(40);
    /// Files that a node may open for other reasons meanwhile: fewer than one silence leaves.
    const OTHER_FILES: usize = NODES - 2;
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let plan = DeploymentPlan::shop("silent-peers", program, &["stock"; NODES]);
    let plan = DeploymentPlan { has_proxies: true, ..plan };
    let deployment = LocalDeployment::start(&plan).await.unwrap();
    wait_for_confirmed_config(&deployment).await;
    sleep(REOPENED).await;
    let open_files = || {
        let ids = deployment.vms.iter().map(|it| it.node().unwrap().id());
        let counts = ids.map(|it| std::fs::read_dir(format!("/proc/{it}/fd")).unwrap().count());
        counts.collect::<Vec<_>>()
    };
    let before = open_files();
    for _ in 0..SILENCES {
        for vm in &deployment.vms {
            vm.silence_open_connections(VmLink::Peers).unwrap();
        }
        sleep(REOPENED).await;
    }
    let after = open_files();
    let closed = wait_until("the silent connections to be closed", CLOSED, async || {
        open_files().iter().zip(&before).all(|(now, before)| *now <= before + OTHER_FILES)
    });
    assert!(closed.await.is_ok(), "{before:?}, {after:?}, then {:?}", open_files());
    deployment.close().unwrap();
}
