//! Tests of targets whose answers do not end.

use std::time::{Duration, Instant};

use galenastream_standin::{
    CallerAnswer, CallerConnection, DeploymentPlan, LocalDeployment, LocalVm, RawAnswer, RawTarget,
    TargetAnswerFault, TargetCapacity, VmPlan, request_bytes, wait_until,
};

use super::{TIMEOUT, WORKS, deployment::send_heartbeat};

/// The memory limit in the settings of the stand-ins, and the share of it that a node may use in
/// these tests.
pub(super) const MEMORY_LIMIT_KB: u64 = 260 * 1_024;
const MEMORY_PERCENT: u64 = 50;

/// Requests to the faulty target at once, of each method and at each node.
const REQUESTS: usize = 4;

/// Slots of each target: enough for all requests, so that none is refused for lack of capacity.
const SLOTS: u32 = 64;

/// How long the correct target takes where the faulty one is to be chosen: longer than nodes assume
/// of a target that they have not measured yet.
const SLOW: Duration = Duration::from_millis(500);

const ENDLESS_ANSWERS: [RawAnswer; 9] = [
    RawAnswer::StatusLine,
    RawAnswer::Hints,
    RawAnswer::HeaderValue,
    RawAnswer::Headers,
    RawAnswer::ChunkedBody,
    RawAnswer::SizedBody,
    RawAnswer::UnsizedBody,
    RawAnswer::ChunkExtension,
    RawAnswer::Trailers,
];

/// The most memory that the node of a VM has used so far.
pub(super) fn peak_memory_kb(vm: &LocalVm) -> u64 {
    let id = vm.node().expect(WORKS).id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect(WORKS);
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect(WORKS);
    line.trim().trim_end_matches(" kB").parse().expect(WORKS)
}

pub(super) fn assert_memory(deployment: &LocalDeployment) {
    let peaks: Vec<u64> = deployment.vms.iter().map(peak_memory_kb).collect();
    let bound_kb = MEMORY_LIMIT_KB * MEMORY_PERCENT / 100;
    assert!(peaks.iter().all(|it| *it < bound_kb), "{peaks:?} kB against {bound_kb} kB");
}

/// Starts a deployment whose first target is an [`RawTarget`], and waits until its node sends
/// requests to it.
async fn start_endless(
    name: &str,
    services: &[&str],
    slow: Duration,
) -> (LocalDeployment, RawTarget) {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &[]);
    let capacity = TargetCapacity { slots: SLOTS, ..Default::default() };
    plan.vms = services.iter().map(|it| VmPlan::new(it).with_capacity(capacity)).collect();
    let mut deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    // Nodes prefer the new target, which answers faster.
    for vm in &deployment.vms[1..] {
        vm.target.set_fault(TargetAnswerFault::Slow(slow));
    }
    let target = deployment.vms[0].start_raw_target(RawAnswer::Complete(0)).await.expect(WORKS);
    wait_until("the new target to be known", TIMEOUT, async || {
        for vm in &deployment.vms {
            let mut caller = vm.caller().await.expect(WORKS);
            caller.get("/stock/complete", &format!("known-{}", vm.name), None).await;
        }
        let runs = target.runs();
        let is_known = |vm: &LocalVm| runs.contains(&format!("known-{}", vm.name));
        deployment.vms.iter().all(is_known)
    })
    .await
    .expect(WORKS);
    (deployment, target)
}

/// A request whose answer has not been read yet.
struct Sent {
    id: String,
    caller: CallerConnection,
}

/// Sends [`REQUESTS`] requests to each node at once, each on a connection of its own.
async fn send_all(deployment: &LocalDeployment, name: &str, method: &str, path: &str) -> Vec<Sent> {
    let mut sent = Vec::new();
    for vm in &deployment.vms {
        for number in 0..REQUESTS {
            let id = format!("{name}-{method}{path}-{}-{number}", vm.name);
            let mut caller = vm.caller().await.expect(WORKS);
            let request = request_bytes(method, path, &id, None);
            caller.send(request.as_bytes()).await.expect(WORKS);
            sent.push(Sent { id, caller });
        }
    }
    sent
}

async fn read_all(sent: Vec<Sent>) -> Vec<(String, CallerAnswer)> {
    let mut answers = Vec::new();
    for Sent { id, mut caller } in sent {
        let answer = caller.read().await.unwrap_or_else(|| panic!("{id} gets an answer"));
        answers.push((id, answer));
    }
    answers
}

/// The log lines of all nodes about a request.
fn lines_about(deployment: &LocalDeployment, id: &str) -> Vec<String> {
    let log = deployment.vms.iter().flat_map(LocalVm::log);
    log.filter(|it| it["kvs"]["request_id"] == id).map(|it| it["kvs"].to_string()).collect()
}

/// Guards against a target that fills the memory of the nodes, which the platform then kills, and
/// against other requests that suffer from it.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_endless("endless", &["stock", "carts"], Duration::ZERO).await;
    for answer in ENDLESS_ANSWERS {
        target.set_answer(answer);
        let name = format!("{answer:?}");
        let mut sent = send_all(&deployment, &name, "POST", "/orders/1").await;
        sent.extend(send_all(&deployment, &name, "GET", "/stock/1").await);
        // Both at the same target over the same links, and at another target.
        let complete = send_all(&deployment, &name, "GET", "/stock/complete").await;
        for vm in &deployment.vms {
            let mut caller = vm.caller().await.unwrap();
            let id = format!("{name}-other-{}", vm.name);
            let other = caller.get("/carts/1", &id, Some(7)).await.unwrap();
            assert_eq!(other.status, 200, "{id}: {other:?}");
        }
        for (id, answer) in read_all(complete).await {
            let lines = lines_about(&deployment, &id);
            assert_eq!(answer.status, 200, "{id}: {answer:?}, {lines:?}");
        }
        for (id, answer) in read_all(sent).await {
            let is_lost = matches!(answer.status, 502 | 504);
            assert!(is_lost, "{id}: {answer:?}, {:?}", lines_about(&deployment, &id));
        }
        assert_memory(&deployment);
    }
    let runs = target.runs();
    let mut once: Vec<&String> = runs.iter().filter(|it| it.contains("-POST/")).collect();
    let count = once.len();
    once.sort();
    once.dedup();
    assert_eq!(once.len(), count, "no request that changes state runs twice");
    let log = deployment.vms[0].log();
    let lines_of = |event: &str| -> Vec<_> {
        log.iter().map(|it| &it["kvs"]).filter(|it| it["event"] == *event).collect()
    };
    let lines = lines_of("target_answer_too_long");
    assert!(lines.iter().any(|it| it["bytes"].as_u64() > Some(0)), "{lines:?}");
    for answer in ENDLESS_ANSWERS {
        let id = format!("{answer:?}-POST/orders/1-vm-0-0");
        let lines = match answer {
            // The limits of the parser on what comes between the parts of a body.
            RawAnswer::ChunkExtension | RawAnswer::Trailers => lines_of("target_answer_lost"),
            _ => lines_of("target_answer_too_long"),
        };
        assert!(lines.iter().any(|it| it["request_id"] == *id), "{id}: {lines:?}");
    }
    deployment.close().unwrap();
}

/// Number of health checks of [`health_answers_without_end_do_not_fill_the_memory_of_a_node`] for each
/// answer, and their interval.
const HEALTH_CHECKS: u64 = 2;
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Guards against health checks whose answers fill the memory, or take the time of requests.
#[tokio::test(flavor = "multi_thread")]
async fn health_answers_without_end_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_endless("health", &["stock", "carts"], Duration::ZERO).await;
    let mut sequence = 0;
    for answer in ENDLESS_ANSWERS {
        target.set_health_answer(answer);
        for _ in 0..HEALTH_CHECKS {
            // A heartbeat of another target makes the node ask the target for its id.
            sequence += 1;
            assert_eq!(send_heartbeat(&deployment.vms[0], "other", "ready", sequence).await, 200);
            let checked_at = Instant::now();
            while checked_at.elapsed() < HEALTH_CHECK_INTERVAL {
                let sent = send_all(&deployment, "beside", "GET", "/stock/complete").await;
                for (id, complete) in read_all(sent).await {
                    assert_eq!(complete.status, 200, "{answer:?}: {id}: {complete:?}");
                }
            }
        }
        assert_memory(&deployment);
    }
    let log = deployment.vms[0].log();
    let is_failed_check = |it: &&serde_json::Value| {
        let event = it["kvs"]["event"].as_str().unwrap_or_default();
        matches!(event, "target_not_identified" | "target_unnamed" | "target_identified")
    };
    let checks = log.iter().filter(is_failed_check).count();
    assert!(checks >= ENDLESS_ANSWERS.len(), "{checks} health checks");
    deployment.close().unwrap();
}

/// Guards against callers of idempotent requests that do not get the answer of another target.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_with_an_answer_without_end_is_served_by_another_target() {
    let (deployment, target) = start_endless("elsewhere", &["stock", "stock"], SLOW).await;
    for answer in [RawAnswer::HeaderValue, RawAnswer::ChunkedBody] {
        target.set_answer(answer);
        let name = format!("{answer:?}");
        wait_until("the other target to be known", TIMEOUT, async || {
            let mut caller = deployment.vms[0].caller().await.unwrap();
            let answer = caller.get("/stock/1", &format!("{name}-first"), None).await;
            answer.is_some_and(|it| it.status == 200)
        })
        .await
        .unwrap();
        // The faulty target is chosen less often after it has failed.
        let mut round = 0;
        wait_until("the faulty target to be chosen", TIMEOUT, async || {
            round += 1;
            let name = format!("{name}-{round}");
            let sent = send_all(&deployment, &name, "GET", "/stock/1").await;
            for (id, answer) in read_all(sent).await {
                assert_eq!(answer.status, 200, "{id}: {answer:?}");
            }
            let prefix = format!("{name}-GET/");
            target.runs().iter().any(|it| it.starts_with(&prefix))
        })
        .await
        .unwrap();
        let other_runs = || deployment.vms[1].target.runs();
        for (id, answer) in read_all(send_all(&deployment, &name, "POST", "/orders/1").await).await
        {
            assert!(matches!(answer.status, 200 | 502 | 504), "{id}: {answer:?}");
            let runs = target.runs().iter().filter(|it| **it == id).count()
                + other_runs().iter().filter(|it| it.request_id == id).count();
            assert_eq!(runs, 1, "{id}");
        }
    }
    assert_memory(&deployment);
    deployment.close().unwrap();
}
