//! Tests of targets that answer requests without their signature.

use std::{collections::BTreeMap, time::Duration};

use galenastream_standin::{LocalDeployment, TargetAnswerFault, request_bytes, wait_until};

use super::{TIMEOUT, WORKS, deployment::start};

/// Statuses that end a request for its caller, that promise that it has not run, and a success.
const STATUSES: [u16; 9] = [200, 302, 400, 401, 403, 404, 408, 413, 503];

/// Requests of each kind for each status, if no other target could answer them.
const REQUESTS: u32 = 4;

/// Sends requests under a path through the VM at `entry` while the target at `faulty` answers
/// without its signature. Returns how many requests ended with each status. Checks that no request
/// ran more often than `max_runs`.
async fn statuses(
    deployment: &LocalDeployment,
    (entry, faulty): (usize, usize),
    path: &str,
    fault: u16,
    max_runs: usize,
) -> BTreeMap<u16, u32> {
    deployment.vms[faulty].target.set_fault(TargetAnswerFault::Unsigned(fault));
    let mut statuses = BTreeMap::new();
    let mut caller = deployment.vms[entry].caller().await.expect(WORKS);
    for number in 0..REQUESTS {
        let id = format!("{}-{entry}-{fault}-{number}", path.replace('/', ""));
        let answer = match path {
            "/orders/1" => caller.post(path, &id).await.expect(WORKS),
            "/carts/1" => caller.get(path, &id, Some(7)).await.expect(WORKS),
            _ => caller.get(path, &id, None).await.expect(WORKS),
        };
        *statuses.entry(answer.status).or_default() += 1;
        assert_eq!(answer.status == 503, answer.header("retry-after").is_some(), "{answer:?}");
        let runs = deployment.vms.iter().flat_map(|it| it.target.runs());
        assert!(runs.filter(|it| it.request_id == id).count() <= max_runs, "{id}");
    }
    deployment.vms[faulty].target.set_fault(TargetAnswerFault::None);
    statuses
}

/// Guards against requests that end with the status of a response that no target signed, at the node
/// beside the target and at another one.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsigned_answer_of_the_only_target_does_not_end_a_request_for_good() {
    let deployment = start("unsigned", &["carts", "stock"]).await;
    for status in STATUSES {
        for entry in [0, 1] {
            for (path, faulty) in [("/stock/1", 1), ("/orders/1", 1), ("/carts/1", 0)] {
                let seen = statuses(&deployment, (entry, faulty), path, status, 2).await;
                // The request may have run.
                assert_eq!(
                    seen,
                    BTreeMap::from([(502, REQUESTS)]),
                    "{path} from {entry}: {status}"
                );
            }
        }
    }
    let mut caller = deployment.vms[0].caller().await.expect(WORKS);
    for (path, key) in [("/stock/1", None), ("/carts/1", Some(7))] {
        assert_eq!(caller.get(path, "sound-again", key).await.expect(WORKS).status, 200, "{path}");
    }
    deployment.close().unwrap();
}

/// Guards against requests that may be repeated and end with an unsigned response although another
/// target could answer them, and against repetitions of those that must not be.
#[tokio::test(flavor = "multi_thread")]
async fn only_idempotent_requests_are_retried_elsewhere_after_an_unsigned_answer() {
    let deployment = start("unsigned-retry", &["stock", "stock"]).await;
    let mut faulty_runs = 0;
    for (entry, methods) in [(0, ["GET", "POST"]), (1, ["POST", "GET"])] {
        wait_until_other_target_is_known(&deployment, entry).await;
        for status in [200, 302, 404, 503] {
            deployment.vms[1].target.set_fault(TargetAnswerFault::Unsigned(status));
            for method in methods {
                faulty_runs += send_round(&deployment, entry, method, status).await;
            }
        }
    }
    // The faulty target is soon avoided, but not before it got some.
    assert!(faulty_runs > 0);
    deployment.close().unwrap();
}

/// Waits until a node has requests answered at the target beside the other one.
async fn wait_until_other_target_is_known(deployment: &LocalDeployment, entry: usize) {
    let target = &deployment.vms[entry].target;
    target.set_fault(TargetAnswerFault::Shed);
    wait_until("the other target to be known", TIMEOUT, async || {
        let mut caller = deployment.vms[entry].caller().await.expect(WORKS);
        caller.get("/stock/1", "known", None).await.expect(WORKS).status == 200
    })
    .await
    .expect(WORKS);
    target.set_fault(TargetAnswerFault::None);
    tokio::time::sleep(REHABILITATION_TIME).await;
}

/// Time after which a target that refused requests is selected again like any other.
const REHABILITATION_TIME: Duration = Duration::from_secs(4);

/// Number of requests sent at once, more than one target has slots.
const ROUND_REQUESTS: usize = 12;

/// Sends requests at once while the second target answers without its signature. Checks how each of
/// them ends, and returns how many ran at that target.
async fn send_round(
    deployment: &LocalDeployment,
    entry: usize,
    method: &str,
    status: u16,
) -> usize {
    let may_be_repeated = method == "GET";
    let path = if may_be_repeated { "/stock/1" } else { "/orders/1" };
    let runs = |vm: usize, id: &str| {
        let runs = deployment.vms[vm].target.runs();
        runs.iter().filter(|it| it.request_id == id).count()
    };
    let id = |it| format!("{method}-{entry}-{status}-{it}");
    let ids: Vec<_> = (0..ROUND_REQUESTS).map(id).collect();
    let all: String = ids.iter().map(|it| request_bytes(method, path, it, None)).collect();
    let mut caller = deployment.vms[entry].caller().await.expect(WORKS);
    caller.send(all.as_bytes()).await.expect(WORKS);
    let mut faulty_runs = 0;
    for id in &ids {
        let answer = caller.read().await.expect(WORKS);
        let expected = match runs(1, id) {
            1.. if !may_be_repeated => (502, 0),
            _ => (200, 1),
        };
        assert_eq!((answer.status, runs(0, id)), expected, "{id}: {answer:?}");
        faulty_runs += runs(1, id);
    }
    faulty_runs
}
