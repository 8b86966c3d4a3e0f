//! Tests of nodes whose targets have no room.

use std::time::Duration;

use galenastream_standin::{
    CallerConnection, DeploymentPlan, LocalDeployment, TargetAnswerFault, TargetCapacity, VmPlan,
    request_bytes, wait_until,
};

use super::{TIMEOUT, deployment::start};

/// Number of targets of the overloaded service.
const TARGETS: usize = 8;

/// Requests on each connection of a caller, sent ahead of their answers.
const REQUESTS_PER_CONNECTION: usize = 10;

/// Nodes that may refuse a request before it is given up.
const MAX_REFUSALS: u64 = 3;

/// How long a caller waits for an answer.
const CALLER_WAIT_MS: u64 = 1_500;

/// Time before the end of the caller's patience at which its answer has to be ready.
const ANSWER_MARGIN_MS: u64 = 25;

/// Guards against refusals whose cost grows with the number of nodes of a service.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_does_not_ask_every_node_of_its_service() {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop("refusals", program, &[]);
    let capacity = TargetCapacity { slots: 1, service_time: Duration::ZERO };
    plan.vms = vec![VmPlan::new("stock").with_capacity(capacity); TARGETS];
    let deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    let entry = &deployment.vms[0];
    wait_until("all targets to be known", TIMEOUT, async || {
        let mut caller = entry.caller().await.unwrap();
        caller.get("/stock/1", "first", None).await;
        deployment.vms.iter().all(|it| !it.target.runs().is_empty())
    })
    .await
    .unwrap();
    for vm in &deployment.vms {
        vm.target.set_fault(TargetAnswerFault::Slow(Duration::from_secs(1)));
    }
    // Several times as many requests as there are slots and places in the queues.
    let mut callers: Vec<CallerConnection> = Vec::new();
    for connection in 0..TARGETS {
        let mut caller = entry.caller().await.unwrap();
        let ids = (0..REQUESTS_PER_CONNECTION).map(|it| format!("load-{connection}-{it}"));
        let requests: String = ids.map(|it| request_bytes("GET", "/stock/1", &it, None)).collect();
        caller.send(requests.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    for caller in &mut callers {
        for _ in 0..REQUESTS_PER_CONNECTION {
            caller.read().await.expect("each request gets an answer");
        }
    }
    let refused_tries = || -> Vec<u64> {
        let log = entry.log().into_iter().map(|mut it| it["kvs"].take());
        let finished = log.filter(|it| it["event"] == "request_finished");
        let refused = finished.filter(|it| it["outcome"] == "not-run");
        refused.filter_map(|it| it["tries"].as_u64()).collect()
    };
    wait_until("a refused request in the log", TIMEOUT, async || !refused_tries().is_empty())
        .await
        .unwrap();
    let tries = refused_tries();
    assert!(tries.iter().all(|it| *it <= MAX_REFUSALS), "{tries:?}");
    deployment.close().unwrap();
}

/// Guards against answers that are ready only when the caller has closed its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_times_out_does_not_end_the_requests_pipelined_behind_it() {
    let deployment = start("margin", &["stock"]).await;
    let mut caller = deployment.vms[0].caller().await.unwrap();
    assert_eq!(caller.get("/stock/1", "id-1", None).await.unwrap().status, 200);
    let runs = deployment.vms[0].target.runs();
    let run = runs.iter().find(|it| it.request_id == "id-1").unwrap();
    assert!(run.deadline_ms <= CALLER_WAIT_MS - ANSWER_MARGIN_MS, "{run:?}");
    deployment.close().unwrap();
}
