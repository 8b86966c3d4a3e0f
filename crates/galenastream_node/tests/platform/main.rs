//! End-to-end tests of real nodes on loopback, with stand-ins for the platform's store and for
//! targets.

mod announced_leave;
mod announcement_load;
mod config_confirmation;
mod crashing_requests;
mod deployment;
mod endless_answer;
mod evacuation;
mod forwarded;
mod lease_calls;
mod long_bodies;
mod malformed_entries;
mod node_stop;
mod overload;
mod raw_answers;
mod refused_requests;
mod request_limit;
mod slow_node;
mod store_restore;
mod unread_answers;
mod unsigned_answers;

use std::time::{Duration, Instant};

use deployment::{start, wait_for_confirmed_config};
use galenastream_standin::{
    CallerConnection, DeploymentPlan, LocalDeployment, StoreFault, TargetAnswerFault,
    request_bytes, wait_until,
};
use serde_json::Value;

/// Timeout of each wait for a state of the deployment.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Panic message of helper functions that need a working deployment.
const WORKS: &str = "the node and the stand-ins work";

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_a_target_on_another_vm_and_its_complete_response_is_returned() {
    let deployment = start("path", &["carts", "stock"]).await;
    wait_for_confirmed_config(&deployment).await;
    let mut caller = deployment.vms[0].caller().await.unwrap();
    let answer = caller.post("/orders/1", "id-1").await.unwrap();
    assert_eq!((answer.status, answer.header("x-request-id")), (200, Some("id-1")));
    assert_eq!(answer.body, "t-1 ran id-1 with 0 bytes");
    let runs = deployment.vms[1].target.runs();
    let run = runs.iter().find(|it| it.request_id == "id-1").unwrap();
    assert_eq!(
        run.caller_service, "carts",
        "the service of the caller's VM, whatever the request claims"
    );
    assert!((1..=1_500).contains(&run.deadline_ms), "{run:?}");
    assert_eq!(caller.get("/unknown/", "id-2", None).await.unwrap().status, 404);
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn every_key_is_served_by_its_owner_and_by_another_target_after_a_failure() {
    let mut deployment = start("keys", &["carts", "carts", "stock"]).await;
    // A node that starts late gets its share in the first round of balancing.
    let shares = || [0, 1].map(|it: usize| deployment.vms[it].target.key_count());
    wait_until("both targets to hold their shares", TIMEOUT, async || {
        shares().iter().all(|it| *it > 20_000)
    })
    .await
    .unwrap();
    let mut caller = deployment.vms[2].caller().await.unwrap();
    for key in [0, 1, 20_000, 40_000, 65_535] {
        let answer = caller.get("/carts/1", &format!("key-{key}"), Some(key)).await.unwrap();
        assert_eq!(answer.status, 200, "key {key}: {answer:?}");
    }
    // The target stops, but its node keeps running and sees that connections are refused, so the
    // keys are reassigned at once.
    let lost = deployment.vms.remove(0);
    lost.target.close();
    let survivor = &deployment.vms[0].target;
    wait_until("the survivor to hold all keys", TIMEOUT, async || survivor.key_count() == 65_536)
        .await
        .unwrap();
    let answer = caller.get("/carts/1", "after", Some(0)).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    deployment.close().unwrap();
}

/// Checks the status of a request, and how often it runs, for each fault of a target.
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_a_target_has_its_status_and_number_of_runs() {
    let deployment = start("faults", &["stock"]).await;
    let target = &deployment.vms[0].target;
    let cases = [
        (TargetAnswerFault::Shed, "/orders/", 503, 0),
        (TargetAnswerFault::Shed, "/stock/", 503, 0),
        (TargetAnswerFault::Fail, "/orders/", 500, 1),
        (TargetAnswerFault::Fail, "/stock/", 500, 1),
        (TargetAnswerFault::Truncate, "/orders/", 502, 1),
        (TargetAnswerFault::Truncate, "/stock/", 502, 1),
        (TargetAnswerFault::Stray, "/orders/", 502, 1),
        (TargetAnswerFault::Stray, "/stock/", 502, 1),
        (TargetAnswerFault::Slow(Duration::from_millis(1_800)), "/stock/", 504, 1),
        (TargetAnswerFault::None, "/orders/", 200, 1),
    ];
    for (number, (fault, path, status, runs)) in cases.into_iter().enumerate() {
        target.set_fault(fault);
        let id = format!("fault-{number}");
        let mut caller = deployment.vms[0].caller().await.unwrap();
        let answer = match path {
            "/orders/" => caller.post(path, &id).await.unwrap(),
            _ => caller.get(path, &id, None).await.unwrap(),
        };
        assert_eq!(answer.status, status, "{fault:?} at {path}: {answer:?}");
        assert_eq!(answer.header("x-request-id"), Some(id.as_str()), "{fault:?} at {path}");
        assert_eq!(answer.header("retry-after").is_some(), status == 503, "{fault:?} at {path}");
        let ran = target.runs().iter().filter(|it| it.request_id == id).count();
        assert_eq!(ran, runs, "{fault:?} at {path}");
    }
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn only_idempotent_requests_are_retried_at_another_target() {
    let deployment = start("repeat", &["stock", "stock"]).await;
    deployment.vms[0].target.set_fault(TargetAnswerFault::Truncate);
    // The first node has to know the second target before requests can be retried there.
    wait_until("the other target to be known", TIMEOUT, async || {
        let answer = deployment.vms[0].caller().await.unwrap().get("/stock/1", "first", None).await;
        answer.is_some_and(|it| it.status == 200)
    })
    .await
    .unwrap();
    let mut statuses = Vec::new();
    for number in 0..10 {
        let mut caller = deployment.vms[0].caller().await.unwrap();
        let id = format!("safe-{number}");
        assert_eq!(caller.get("/stock/1", &id, None).await.unwrap().status, 200);
        let id = format!("once-{number}");
        statuses.push(caller.post("/orders/1", &id).await.unwrap().status);
        let runs = |index: usize| deployment.vms[index].target.runs();
        let all = runs(0).into_iter().chain(runs(1));
        assert_eq!(all.filter(|it| it.request_id == id).count(), 1);
    }
    assert!(statuses.iter().all(|it| matches!(it, 200 | 502)), "{statuses:?}");
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let deployment = start("ahead", &["stock"]).await;
    let slow = Duration::from_millis(400);
    deployment.vms[0].target.set_fault(TargetAnswerFault::Slow(slow));
    let mut caller = deployment.vms[0].caller().await.unwrap();
    let ids = ["a", "b", "c", "d"];
    let began_at = Instant::now();
    let all: String = ids.iter().map(|it| request_bytes("GET", "/stock/1", it, None)).collect();
    caller.send(all.as_bytes()).await.unwrap();
    for id in ids {
        let answer = caller.read().await.unwrap();
        assert_eq!((answer.status, answer.header("x-request-id")), (200, Some(id)));
    }
    assert!(began_at.elapsed() < 3 * slow, "{:?}", began_at.elapsed());
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_config_takes_effect_and_an_older_or_malformed_one_does_not() {
    let deployment = start("config", &["stock"]).await;
    wait_for_confirmed_config(&deployment).await;
    let vm = &deployment.vms[0];
    let status =
        async |path: &str| vm.caller().await.unwrap().get(path, "c", None).await.unwrap().status;
    let newer = DeploymentPlan::shop_config(9, "/shelf/");
    deployment.store.put("op", "config", newer.to_string().as_bytes());
    wait_until("the config to be in force", TIMEOUT, async || status("/shelf/1").await == 200)
        .await
        .unwrap();
    assert_eq!(status("/stock/1").await, 404);
    deployment.store.put(
        "op",
        "config",
        DeploymentPlan::shop_config(8, "/stock/").to_string().as_bytes(),
    );
    deployment.store.put("op", "config", b"{\"version\":\"0000000a\"");
    wait_until("the refusal", TIMEOUT, async || {
        vm.log().iter().any(|it| it["kvs"]["event"] == "config_refused")
    })
    .await
    .unwrap();
    // What the malformed config allows is not known, so the node refuses nothing for good.
    assert_eq!(status("/shelf/1").await, 200);
    let mut caller = vm.caller().await.unwrap();
    let answer = caller.get("/stock/1", "doubted", None).await.unwrap();
    assert_eq!((answer.status, answer.header("retry-after").is_some()), (503, true), "{answer:?}");
    let readable = DeploymentPlan::shop_config(11, "/shelf/");
    deployment.store.put("op", "config", readable.to_string().as_bytes());
    wait_until("the newer config", TIMEOUT, async || status("/stock/1").await == 404)
        .await
        .unwrap();
    assert_eq!(status("/shelf/1").await, 200);
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_does_not_interrupt_requests() {
    let deployment = start("outage", &["carts", "stock"]).await;
    deployment.store.set_fault(StoreFault::Refuse(503));
    let mut caller = deployment.vms[1].caller().await.unwrap();
    let began_at = Instant::now();
    while began_at.elapsed() < Duration::from_secs(4) {
        let answer = caller.get("/carts/1", "outage", Some(7)).await.unwrap();
        assert_eq!(answer.status, 200, "after {:?}", began_at.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    deployment.close().unwrap();
}

/// Traces a failed request by its id through the logs and metrics of both nodes to its cause.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_by_logs_and_metrics() {
    let deployment = start("explain", &["carts", "stock"]).await;
    deployment.vms[1].target.set_fault(TargetAnswerFault::Truncate);
    let mut caller = deployment.vms[0].caller().await.unwrap();
    assert_eq!(caller.post("/orders/1", "lost-1").await.unwrap().status, 502);
    let line = async |vm: usize, event: &str| -> Value {
        let vm = &deployment.vms[vm];
        let found = || {
            let log = vm.log().into_iter().map(|mut it| it["kvs"].take());
            log.filter(|it| it["request_id"] == "lost-1").find(|it| it["event"] == event)
        };
        let description = format!("{event} in the log of {}", vm.ip);
        wait_until(&description, TIMEOUT, async || found().is_some()).await.unwrap();
        found().unwrap()
    };
    let entry = line(0, "request_finished").await;
    assert_eq!(entry["outcome"], "lost");
    assert_eq!(entry["node"], "vm-1");
    assert_eq!(entry["reason"], "connection-lost");
    assert_eq!((&entry["tries"], &entry["config_version"]), (&1.into(), &1.into()));
    let at_target = line(1, "target_request_failed").await;
    assert_eq!(at_target["reason"], "connection-lost");
    line(1, "target_answer_lost").await;
    let metrics = deployment.vms[0].metrics().await.unwrap().body;
    assert!(metrics.contains("galenastream_requests_total{"), "{metrics}");
    assert!(metrics.contains("outcome=\"lost\""), "{metrics}");
    let metrics = deployment.vms[1].metrics().await.unwrap().body;
    assert!(metrics.contains("reason=\"connection-lost\""), "{metrics}");
    deployment.close().unwrap();
}

/// Finds a request that its node refused for good by its id, with the config that decided.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_explained_by_the_log() {
    let deployment = start("refused", &["stock"]).await;
    wait_for_confirmed_config(&deployment).await;
    let vm = &deployment.vms[0];
    let mut caller = vm.caller().await.unwrap();
    assert_eq!(caller.get("/nowhere/1", "refused-1", None).await.unwrap().status, 404);
    caller
        .send(
            b"POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: refused-2\r\n\
              Content-Length: 1, 2\r\n\r\n",
        )
        .await
        .unwrap();
    assert_eq!(caller.read().await.unwrap().status, 400);
    for (id, status, reason, path) in
        [("refused-1", 404, "no-route", "/nowhere/1"), ("refused-2", 400, "malformed", "/stock/1")]
    {
        let found = || {
            let mut log = vm.log().into_iter().map(|mut it| it["kvs"].take());
            log.find(|it| it["event"] == "request_refused" && it["request_id"] == id)
        };
        wait_until(id, TIMEOUT, async || found().is_some()).await.unwrap();
        let line = found().unwrap();
        assert_eq!((&line["status"], &line["reason"]), (&status.into(), &reason.into()));
        assert_eq!((&line["host"], &line["path"]), (&"shop.example".into(), &path.into()));
        assert_eq!(line["config_version"], 1);
        assert!(line["config_age_ms"].is_u64(), "{line}");
    }
    let metrics = vm.metrics().await.unwrap().body;
    assert!(metrics.contains("galenastream_refused_total{reason=\"no-route\"} 1"), "{metrics}");
    deployment.close().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn other_nodes_keep_serving_after_a_node_is_killed() {
    let mut deployment = start("kill", &["stock", "stock"]).await;
    deployment.vms[0].kill_node().unwrap();
    let mut caller = deployment.vms[1].caller().await.unwrap();
    for number in 0..20 {
        let id = format!("after-{number}");
        assert_eq!(caller.get("/stock/1", &id, None).await.unwrap().status, 200);
    }
    deployment.close().unwrap();
}

/// Guards against a capacity estimate that counts requests without a key: they say nothing about
/// how many requests with a key the target can take.
#[tokio::test(flavor = "multi_thread")]
async fn fast_requests_without_a_key_do_not_raise_the_measured_capacity() {
    let deployment = start("capacity", &["carts", "stock"]).await;
    let vm = &deployment.vms[0];
    let mut caller = vm.caller().await.unwrap();
    for number in 0..5 {
        let answer = caller.get("/carts/1", &format!("plain-{number}"), None).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(caller.get("/carts/1", "keyed", Some(7)).await.unwrap().status, 200);
    let capacity = async || -> Option<u64> {
        let mut operator = CallerConnection::connect(vm.metrics_address()).await?;
        let page = operator.get("/status", "status", None).await?;
        let page: Value = serde_json::from_str(&page.body).ok()?;
        page["target"]["capacity_milli_per_s"].as_u64().filter(|it| *it > 0)
    };
    wait_until("the capacity to be measured", TIMEOUT, async || capacity().await.is_some())
        .await
        .unwrap();
    // Eight slots, and a third of the route's target latency as the assumed service time until more
    // is measured.
    let assumed_milli_per_s = 8 * 1_000 * 1_000 / 300;
    let measured_milli_per_s = capacity().await.unwrap();
    assert!(
        measured_milli_per_s < 2 * assumed_milli_per_s,
        "{measured_milli_per_s} against {assumed_milli_per_s}"
    );
    deployment.close().unwrap();
}

/// A request that is not idempotent and still waits for a slot when its caller closes the
/// connection does not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_is_dropped_when_its_caller_leaves() {
    let deployment = start("leave", &["carts", "stock"]).await;
    deployment.vms[1].target.set_fault(TargetAnswerFault::Slow(SERVICE_TIME));
    // On a slow machine the caller may leave after slots are free. Such a round proves nothing and
    // is repeated.
    let mut round = 0;
    while !leave_while_slots_are_taken(&deployment, round).await {
        round += 1;
        assert!(
            round < 10,
            "the machine is too slow for this test: in no round did the caller leave in time"
        );
    }
    deployment.close().unwrap();
}

/// Service time of each request. It is shorter than the longest wait for a slot, so that a request
/// whose caller stays does run.
const SERVICE_TIME: Duration = Duration::from_millis(450);

/// Occupies all slots, lets one of two callers with a waiting request leave, and checks which of
/// the requests run. Returns false if the caller left too late for the check.
async fn leave_while_slots_are_taken(deployment: &LocalDeployment, round: u32) -> bool {
    let target = &deployment.vms[1].target;
    let runs = |id: &str| target.runs().iter().filter(|it| it.request_id == id).count();
    let mut slot_callers = Vec::new();
    let began_at = Instant::now();
    for number in 0..8 {
        let mut caller = deployment.vms[1].caller().await.expect(WORKS);
        let id = format!("slot-{round}-{number}");
        caller.send(request_bytes("GET", "/stock/1", &id, None).as_bytes()).await.expect(WORKS);
        slot_callers.push(caller);
    }
    let slots_taken = || (0..8).all(|it| runs(&format!("slot-{round}-{it}")) == 1);
    wait_until("all slots to be taken", TIMEOUT, async || slots_taken()).await.expect(WORKS);
    // The requests enter on another VM, so that the cancellation has to pass both nodes.
    let (dropped_id, kept_id) = (format!("left-{round}"), format!("stayed-{round}"));
    let mut leaving_caller = deployment.vms[0].caller().await.expect(WORKS);
    leaving_caller
        .send(request_bytes("POST", "/orders/1", &dropped_id, None).as_bytes())
        .await
        .expect(WORKS);
    let mut staying_caller = deployment.vms[0].caller().await.expect(WORKS);
    staying_caller
        .send(request_bytes("POST", "/orders/1", &kept_id, None).as_bytes())
        .await
        .expect(WORKS);
    tokio::time::sleep(SERVICE_TIME / 5).await;
    drop(leaving_caller);
    let has_left_in_time = began_at.elapsed() < SERVICE_TIME * 3 / 4;
    let answer = staying_caller.read().await.expect(WORKS);
    for mut slot_caller in slot_callers {
        assert_eq!(slot_caller.read().await.expect(WORKS).status, 200);
    }
    // When this request is answered, the queued ones that were not dropped have started.
    let mut caller = deployment.vms[0].caller().await.expect(WORKS);
    let after = format!("after-{round}");
    assert_eq!(caller.get("/stock/1", &after, None).await.expect(WORKS).status, 200);
    if has_left_in_time {
        assert_eq!(answer.status, 200, "the request of the caller that stays runs: {answer:?}");
        assert_eq!(runs(&dropped_id), 0);
    }
    has_left_in_time
}
