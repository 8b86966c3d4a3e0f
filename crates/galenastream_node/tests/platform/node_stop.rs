//! Tests of nodes that are stopped.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::future::join_all;
use galenastream_node::STATUS_PATH;
use galenastream_standin::{
    CallerConnection, DeploymentPlan, LocalDeployment, LocalVm, TargetAnswerFault, TargetCapacity,
    request_bytes, wait_until,
};

use super::{TIMEOUT, WORKS, deployment::start};

/// Guards against lines that are still buffered when the process exits: without the last one, a
/// graceful stop cannot be told from a kill.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_lines_of_a_stopping_node_are_logged() {
    let mut deployment = start("last-lines", &["stock"]).await;
    let vm = &mut deployment.vms[0];
    assert!(vm.stop_node().await.unwrap().success());
    let log = vm.log();
    let last = log.last().map(|it| it["kvs"]["event"].clone());
    assert_eq!(last, Some("process_stopped".into()));
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_answers_the_requests_it_has_read() {
    let mut deployment = start("stop", &["stock"]).await;
    deployment.vms[0].target.set_fault(TargetAnswerFault::Slow(Duration::from_millis(700)));
    let mut caller = deployment.vms[0].caller().await.unwrap();
    let ahead: String =
        ["a", "b"].iter().map(|it| request_bytes("GET", "/stock/1", it, None)).collect();
    caller.send(ahead.as_bytes()).await.unwrap();
    let target = &deployment.vms[0].target;
    let runs = |id: &str| target.runs().iter().filter(|it| it.request_id == id).count();
    wait_until("both to run", TIMEOUT, async || runs("a") + runs("b") == 2).await.unwrap();
    let mut vm = deployment.vms.remove(0);
    let (stopped, answers) =
        tokio::join!(vm.stop_node(), async { (caller.read().await, caller.read().await) });
    let stopped = stopped.unwrap();
    assert!(stopped.success(), "{stopped}");
    let (first, second) = (answers.0.unwrap(), answers.1.unwrap());
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(second.header("connection"), Some("close"));
    vm.target.close();
    deployment.close().unwrap();
}

/// Requests that other nodes forward to a stopping node either run once and are answered, or are
/// refused without having run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_interrupts_no_forwarded_request() {
    let mut deployment = start("stop-other", &["carts", "stock"]).await;
    let mut vm = deployment.vms.remove(1);
    vm.target.set_fault(TargetAnswerFault::Slow(Duration::from_millis(400)));
    let callers_address = deployment.vms[0].callers_address();
    let senders: Vec<_> = (0..4)
        .map(|sender| tokio::spawn(send_orders(callers_address, sender, Duration::from_secs(5))))
        .collect();
    wait_until("orders to run at the target", TIMEOUT, async || vm.target.runs().len() > 4)
        .await
        .unwrap();
    let stopped = vm.stop_node().await.unwrap();
    assert!(stopped.success(), "{stopped}");
    let mut answered = 0;
    for sender in senders {
        for (id, status) in sender.await.unwrap() {
            let ran = vm.target.runs().iter().filter(|it| it.request_id == id).count();
            let expected = if ran == 1 { 200 } else { 503 };
            assert_eq!((ran.min(1), status), (ran, Some(expected)), "{id}");
            answered += ran;
        }
    }
    assert!(answered > 10, "{answered}");
    vm.close();
    deployment.close().unwrap();
}

/// Sends orders in sequence for a period of time, and returns their ids and statuses.
async fn send_orders(
    callers_address: SocketAddr,
    sender: usize,
    duration: Duration,
) -> Vec<(String, Option<u16>)> {
    let mut answers = Vec::new();
    let began_at = Instant::now();
    while began_at.elapsed() < duration {
        let id = format!("order-{sender}-{}", answers.len());
        let mut caller = CallerConnection::connect(callers_address).await.expect(WORKS);
        let answer = caller.post("/orders/1", &id).await;
        answers.push((id, answer.map(|it| it.status)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answers
}

/// How long after SIGTERM a stopping node still takes requests, but can answer only those that begin at
/// once.
const LATE_DELAY: Duration = Duration::from_millis(2_000);

/// The service time that admission assumes of routes with [`TARGET_LATENCY_MS`].
const SERVICE_TIME: Duration = Duration::from_secs(2);
const TARGET_LATENCY_MS: u32 = 6_000;

/// Longer than a stopping node runs.
const HOLD_TIME: Duration = Duration::from_secs(9);

/// With this target latency, requests would wait for a slot until after the end of their node.
const LONG_LATENCY_MS: u32 = 12_000;

/// Number of requests that admission lets wait for the full target.
const WAITING: usize = 3;

/// Number of requests in a burst: more than have a turn before the end of their node.
const BURST: usize = 8;

/// A request that cannot be served is refused within this time.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Slots of the target of `stock`.
const SLOTS: u32 = 2;

/// Starts a deployment of `carts` and `stock` whose callers wait for long. The target of `stock` takes this long for a request from now on.
async fn start_patient(
    name: &str,
    service_time: Duration,
    target_latency_ms: u32,
) -> LocalDeployment {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &["carts", "stock"])
        .with_route_times(15_000, target_latency_ms);
    plan.vms[1].capacity = TargetCapacity { slots: SLOTS, ..Default::default() };
    let deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    deployment.vms[1].target.set_fault(TargetAnswerFault::Slow(service_time));
    deployment
}

/// How a request with a deadline of 20 s has ended.
#[derive(Debug)]
struct PatientEnd {
    id: String,
    /// `None` if the connection ended without a whole answer.
    status: Option<u16>,
    waited: Duration,
}

async fn send_patiently(address: SocketAddr, method: &str, path: &str, id: String) -> PatientEnd {
    let mut caller = CallerConnection::connect(address).await.expect(WORKS);
    let request = request_bytes(method, path, &id, None).replace("Ms: 1500", "Ms: 20000");
    caller.send(request.as_bytes()).await.expect(WORKS);
    let sent_at = Instant::now();
    let mut answer = caller.read().await;
    if answer.is_none() {
        answer = caller.read().await;
    }
    PatientEnd { id, status: answer.map(|it| it.status), waited: sent_at.elapsed() }
}

async fn send_burst(
    address: SocketAddr,
    count: usize,
    method: &str,
    path: &str,
) -> Vec<PatientEnd> {
    let ids = (0..count).map(|it| format!("burst-{it}"));
    join_all(ids.map(|it| send_patiently(address, method, path, it))).await
}

/// The number of requests that wait for the target of a VM or run there, as its node reports.
async fn pending_requests(vm: &LocalVm) -> Option<u64> {
    let mut connection = CallerConnection::connect(vm.metrics_address()).await?;
    let page = connection.get(STATUS_PATH, "status", None).await?;
    let page: serde_json::Value = serde_json::from_str(&page.body).ok()?;
    page["target"]["pending_requests"].as_u64()
}

/// Stops the node of a VM while requests that were sent through a node wait for a slot of the target of
/// `stock`, and other requests hold all slots. Asserts that they are refused and never run.
async fn stop_beside_a_full_target(
    name: &str,
    stopped: usize,
    entry: usize,
    method: &'static str,
    path: &'static str,
) {
    let mut deployment = start_patient(name, HOLD_TIME, LONG_LATENCY_MS).await;
    let address = deployment.vms[entry].callers_address();
    let holder = deployment.vms[1 - stopped].callers_address();
    for number in 0..SLOTS {
        let id = format!("holder-{number}");
        tokio::spawn(async move { send_patiently(holder, "GET", "/stock/1", id).await });
    }
    let is_pending = async |count: usize| {
        let pending = pending_requests(&deployment.vms[1]).await;
        pending.is_some_and(|it| it == count as u64)
    };
    let slots = SLOTS as usize;
    wait_until("the slots to be held", TIMEOUT, async || is_pending(slots).await)
        .await
        .expect(WORKS);
    let burst = tokio::spawn(async move { send_burst(address, WAITING, method, path).await });
    wait_until("the others to wait", TIMEOUT, async || is_pending(slots + WAITING).await)
        .await
        .expect(WORKS);
    let mut vm = deployment.vms.remove(stopped);
    assert!(vm.stop_node().await.expect(WORKS).success());
    let ends = burst.await.expect(WORKS);
    let target = if stopped == 0 { &deployment.vms[0].target } else { &vm.target };
    let runs = target.runs();
    for PatientEnd { id, status, .. } in &ends {
        assert_eq!(*status, Some(503), "{id}: {ends:?}");
        assert!(!runs.iter().any(|it| it.request_id == *id), "{id} has run and is refused");
    }
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against requests that wait for a slot at another node when their node ends: their connections
/// were closed without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_elsewhere_are_refused_before_their_node_ends() {
    stop_beside_a_full_target("stop-waiting", 0, 0, "GET", "/stock/1").await;
}

/// The same for requests that may run only once.
#[tokio::test(flavor = "multi_thread")]
async fn orders_that_wait_elsewhere_are_refused_before_their_node_ends() {
    stop_beside_a_full_target("stop-waiting-orders", 0, 0, "POST", "/orders/1").await;
}

/// Guards against requests that wait for a slot beside their callers when the node there ends.
#[tokio::test(flavor = "multi_thread")]
async fn orders_that_wait_at_the_stopping_node_are_refused_before_it_ends() {
    stop_beside_a_full_target("stop-waiting-local", 1, 1, "POST", "/orders/1").await;
}

/// Guards against requests of other nodes that wait for a slot beside a node that ends.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_orders_that_wait_at_a_stopping_node_are_refused_before_it_ends() {
    stop_beside_a_full_target("stop-waiting-forwarded", 1, 0, "POST", "/orders/1").await;
}

/// Guards against requests that a stopping node passes on although they take longer than it runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_refuses_requests_that_its_end_would_cut_off() {
    let mut deployment = start_patient("stop-long", 2 * SERVICE_TIME, 2 * TARGET_LATENCY_MS).await;
    let address = deployment.vms[0].callers_address();
    let mut vm = deployment.vms.remove(0);
    let late = async {
        tokio::time::sleep(LATE_DELAY).await;
        send_patiently(address, "POST", "/orders/1", "late".to_owned()).await
    };
    let (ended, late) = tokio::join!(vm.stop_node(), late);
    assert!(ended.expect(WORKS).success());
    assert_eq!(late.status, Some(503));
    assert!(late.waited < REFUSAL_TIME, "{late:?}");
    assert!(!deployment.vms[0].target.runs().iter().any(|it| it.request_id == "late"));
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against requests that a stopping node lets wait at another node, although their turn would come
/// too late.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_turn_comes_after_the_end_of_their_node_are_refused_at_once() {
    let mut deployment =
        start_patient("stop-turn", SERVICE_TIME * 6 / 5, TARGET_LATENCY_MS * 6 / 5).await;
    let address = deployment.vms[0].callers_address();
    let mut vm = deployment.vms.remove(0);
    let burst = async {
        tokio::time::sleep(LATE_DELAY).await;
        send_burst(address, BURST, "POST", "/orders/1").await
    };
    let (ended, ends) = tokio::join!(vm.stop_node(), burst);
    assert!(ended.expect(WORKS).success());
    let refused: Vec<&PatientEnd> = ends.iter().filter(|it| it.status == Some(503)).collect();
    assert_eq!(refused.len(), ends.len() - SLOTS as usize, "{ends:?}");
    assert!(refused.iter().all(|it| it.waited < REFUSAL_TIME), "{ends:?}");
    vm.close();
    deployment.close().expect(WORKS);
}

/// Number of callers of [`callers_of_a_stopping_node_get_answers_until_it_is_gone`].
const CALLERS: usize = 6;

/// An order that ended without an answer, and when it was sent.
struct Unanswered {
    id: String,
    sent_at: Instant,
}

/// Sends orders one after the other, on a connection for as long as that is open, until the node is gone.
async fn send_until_gone(address: SocketAddr, caller: usize) -> Vec<Unanswered> {
    let mut unanswered = Vec::new();
    let mut number = 0;
    while let Some(mut connection) = CallerConnection::connect(address).await {
        loop {
            number += 1;
            let id = format!("gone-{caller}-{number}");
            let sent_at = Instant::now();
            let Some(answer) = connection.post("/orders/1", &id).await else {
                unanswered.push(Unanswered { id, sent_at });
                break;
            };
            if answer.header("connection") == Some("close") {
                break;
            }
        }
    }
    unanswered
}

/// Guards against orders that a stopping node takes late and cuts off: its callers use their connections,
/// and open others, until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_stopping_node_get_answers_until_it_is_gone() {
    let mut deployment = start("stop-gone", &["carts", "stock"]).await;
    deployment.vms[1].target.set_fault(TargetAnswerFault::Slow(Duration::from_millis(300)));
    let address = deployment.vms[0].callers_address();
    let mut vm = deployment.vms.remove(0);
    let callers: Vec<_> =
        (0..CALLERS).map(|it| tokio::spawn(send_until_gone(address, it))).collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(vm.stop_node().await.unwrap().success());
    let runs = deployment.vms[0].target.runs();
    for caller in callers {
        for Unanswered { id, sent_at } in caller.await.unwrap() {
            let has_run = runs.iter().any(|it| it.request_id == id);
            assert!(!has_run, "{id}, sent {:?} ago, ran without an answer", sent_at.elapsed());
        }
    }
    vm.close();
    deployment.close().unwrap();
}
