//! Tests of long bodies between two nodes.

use galenastream_standin::{
    CallerAnswer, DeploymentPlan, EndlessAnswer, EndlessTarget, LocalDeployment, LocalVm,
    TargetCapacity, VmPlan, request_bytes, wait_until,
};
use serde_json::json;

use super::{TIMEOUT, WORKS, endless_answer::assert_memory};

/// Slots of each target: enough for all requests of a test.
const SLOTS: u32 = 64;

/// The longest body that a config allows.
const MAX_CONFIG_BYTES: usize = 64 * 1024 * 1024;

/// A body that is longer than the messages between nodes once could be, and shorter than the
/// longest one that nodes promise to carry.
const LONG_BYTES: usize = 6 * 1024 * 1024;

/// A body that is longer than the longest one that nodes promise to carry.
const TOO_LONG_BYTES: usize = 20 * 1024 * 1024;

/// Starts two VMs, of which the second one has the only target of `stock`, so that requests at the
/// first one pass one link.
async fn start_pair(name: &str) -> (LocalDeployment, EndlessTarget) {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &[]);
    plan.config["limits"]["maxBodyBytes"] = json!(MAX_CONFIG_BYTES);
    let capacity = TargetCapacity { slots: SLOTS, ..Default::default() };
    plan.vms = ["carts", "stock"].map(|it| VmPlan::new(it).with_capacity(capacity)).to_vec();
    let mut deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    let complete = EndlessAnswer::Complete(0);
    let target = deployment.vms[1].start_endless_target(complete).await.expect(WORKS);
    wait_until("the new target to be known", TIMEOUT, async || {
        let mut caller = deployment.vms[0].caller().await.expect(WORKS);
        caller.get("/stock/1", "known", None).await;
        target.runs().contains(&"known".to_owned())
    })
    .await
    .expect(WORKS);
    (deployment, target)
}

/// Sends a POST request with a body, which changes state.
async fn post(vm: &LocalVm, id: &str, body_bytes: usize) -> CallerAnswer {
    let head = request_bytes("POST", "/orders/1", id, None);
    let length = format!("Content-Length: {body_bytes}");
    let mut request = head.replace("Content-Length: 0", &length).into_bytes();
    request.resize(request.len() + body_bytes, b'b');
    let mut caller = vm.caller().await.expect(WORKS);
    caller.send(&request).await.expect(WORKS);
    caller.read().await.unwrap_or_else(|| panic!("{id} gets an answer"))
}

/// Runs `requests` while another request is in progress on the same link, and checks that this one
/// is answered.
async fn beside_another_request<T>(vm: &LocalVm, requests: impl Future<Output = T>) -> T {
    let mut caller = vm.caller().await.expect(WORKS);
    let other = request_bytes("POST", "/orders/slow", "other", None);
    caller.send(other.as_bytes()).await.expect(WORKS);
    let result = requests.await;
    let answer = caller.read().await.expect(WORKS);
    assert_eq!(answer.status, 200, "{answer:?}");
    result
}

/// Guards against a request that ends the link to another node, and with it the requests of others
/// in progress there, because its body is too long for the link.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_body_that_is_too_long_for_a_link_ends_only_its_own_request() {
    let (deployment, target) = start_pair("long-request").await;
    let entry = &deployment.vms[0];
    let answer = beside_another_request(entry, post(entry, "too-long", TOO_LONG_BYTES)).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(!target.runs().contains(&"too-long".to_owned()), "a refused request has not run");
    deployment.close().unwrap();
}

/// Guards against an answer that ends the link between two nodes because it is too long for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_too_long_for_a_link_ends_only_its_own_request() {
    let (deployment, target) = start_pair("long-answer").await;
    let entry = &deployment.vms[0];
    target.set_answer(EndlessAnswer::Complete(LONG_BYTES));
    let answer = beside_another_request(entry, post(entry, "long", 1)).await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(target.runs().iter().filter(|it| *it == "long").count(), 1);
    assert_memory(&deployment);
    deployment.close().unwrap();
}
