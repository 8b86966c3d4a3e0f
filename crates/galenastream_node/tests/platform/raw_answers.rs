//! Tests of targets whose answers are cut off, or come once more.

use galenastream_adapter::header_names;
use galenastream_standin::{
    CallerAnswer, DeploymentPlan, LocalDeployment, RawAnswer, RawTarget, VmPlan, request_bytes,
    wait_until,
};

use super::{TIMEOUT, WORKS};

/// How often each fault is played.
const ROUNDS: usize = 5;

/// Starts two VMs, of which the second one has the only target of `service`. No request may run more
/// than once.
async fn start_pair(name: &str, service: &str) -> (LocalDeployment, RawTarget) {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &[]);
    let config = DeploymentPlan::shop_config(1, "/stock/").to_string();
    let config = config.replace("\"safe\"", "\"unsafe\"");
    plan.config = Some(serde_json::from_str(&config).expect(WORKS));
    let other = if service == "stock" { "carts" } else { "stock" };
    plan.vms = [other, service].map(VmPlan::new).to_vec();
    let mut deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    let complete = RawAnswer::Complete(0);
    let target = deployment.vms[1].start_raw_target(complete).await.expect(WORKS);
    let mut probes = 0;
    wait_until("the new target to be known", TIMEOUT, async || {
        probes += 1;
        let id = format!("known-{probes}");
        post(&deployment, 0, service, &id).await;
        target.runs().contains(&id)
    })
    .await
    .expect(WORKS);
    (deployment, target)
}

/// Sends a request that may run only once to a service through the node of a VM.
async fn post(deployment: &LocalDeployment, vm: usize, service: &str, id: &str) -> CallerAnswer {
    let mut caller = deployment.vms[vm].caller().await.expect(WORKS);
    let (path, key) = match service {
        "carts" => ("/carts/1", Some(7)),
        _ => ("/orders/1", None),
    };
    caller.send(request_bytes("POST", path, id, key).as_bytes()).await.expect(WORKS);
    caller.read().await.unwrap_or_else(|| panic!("{id} gets an answer"))
}

/// Asserts that a request ran once at most, and that it was not answered as not run if it did.
fn assert_promise_kept(target: &RawTarget, id: &str, answer: &CallerAnswer) {
    let runs = target.runs().iter().filter(|it| *it == id).count();
    let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
    assert!(runs <= 1 && !(is_promise && runs > 0), "{id} ran {runs} times: {answer:?}");
}

/// Guards against a late copy of the refusal of a request that counts as the answer to its next
/// attempt: the request runs twice, or runs and is answered as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_is_no_answer_to_the_next_attempt() {
    let (deployment, target) = start_pair("copied-refusal", "carts").await;
    for round in 0..ROUNDS {
        for vm in [0, 1] {
            target.set_answer(RawAnswer::RefuseNext { names_request: true });
            let id = format!("refused-{round}-{vm}");
            let answer = post(&deployment, vm, "carts", &id).await;
            assert_promise_kept(&target, &id, &answer);
            // The copy belongs to no request that is sent on its connection afterwards either.
            let id = format!("next-{round}-{vm}");
            let answer = post(&deployment, vm, "carts", &id).await;
            assert_promise_kept(&target, &id, &answer);
        }
    }
    deployment.close().unwrap();
}

/// Guards against a late copy of a refusal that names no request, and counts as the refusal of the
/// next request on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_without_an_id_refuses_no_other_request() {
    let (deployment, target) = start_pair("unnamed-refusal", "stock").await;
    for round in 0..ROUNDS {
        for vm in [0, 1] {
            target.set_answer(RawAnswer::RefuseNext { names_request: false });
            for name in ["refused", "next"] {
                let id = format!("{name}-{round}-{vm}");
                let answer = post(&deployment, vm, "stock", &id).await;
                assert_promise_kept(&target, &id, &answer);
            }
        }
    }
    deployment.close().unwrap();
}

/// Guards against an answer that is cut off in its head and passed on as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_off_in_its_head_is_not_passed_on() {
    let (deployment, target) = start_pair("cut-head", "stock").await;
    target.set_answer(RawAnswer::CutHead(usize::MAX));
    let whole = post(&deployment, 0, "stock", "whole").await;
    assert_eq!(whole.status, 200, "{whole:?}");
    // All cuts of a head: it is shorter than this and ends with the connection.
    let mut cut_bytes = 0;
    loop {
        let vm = cut_bytes % 2;
        target.set_answer(RawAnswer::CutHead(cut_bytes));
        let id = format!("cut-{cut_bytes:03}");
        let answer = post(&deployment, vm, "stock", &id).await;
        if answer.status == 200 {
            break;
        }
        assert_eq!(answer.status, 502, "{cut_bytes}: {answer:?}");
        assert_eq!(target.runs().iter().filter(|it| **it == id).count(), 1);
        // The connection before the cut one is a kept one.
        target.set_answer(RawAnswer::Complete(0));
        let answer = post(&deployment, vm, "stock", &format!("kept-{cut_bytes:03}")).await;
        assert_eq!(answer.status, 200, "{cut_bytes}: {answer:?}");
        cut_bytes += 1;
    }
    assert!(cut_bytes > 100, "only the whole head of {cut_bytes} bytes is an answer");
    deployment.close().unwrap();
}

/// Statuses that no answer may have.
const INVALID_STATUSES: [&str; 9] = ["000", "001", "099", "600", "999", "0", "20", "2000", "2x0"];

/// Guards against an answer whose status is no status of HTTP, and that callers get as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_invalid_status_is_not_passed_on() {
    let (deployment, target) = start_pair("invalid-status", "stock").await;
    for code in INVALID_STATUSES {
        for (vm, has_hints) in [(0, false), (1, false), (0, true), (1, true)] {
            // The first one comes on a kept connection, the second one on a new one.
            for round in ["kept", "new"] {
                target.set_answer(RawAnswer::Status { code, has_hints });
                let id = format!("status-{code}-{vm}-{has_hints}-{round}");
                let answer = post(&deployment, vm, "stock", &id).await;
                assert_eq!(answer.status, 502, "{id}: {answer:?}");
                assert_eq!(answer.header(header_names::SIGNATURE), None, "{id}");
                assert_eq!(target.runs().iter().filter(|it| **it == id).count(), 1);
            }
            target.set_answer(RawAnswer::Complete(0));
            let id = format!("valid-{code}-{vm}-{has_hints}");
            assert_eq!(post(&deployment, vm, "stock", &id).await.status, 200, "{id}");
        }
    }
    deployment.close().unwrap();
}
