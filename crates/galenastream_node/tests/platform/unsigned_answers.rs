//! Tests of targets that answer requests without their signature.

use std::{collections::BTreeMap, time::Duration};

use galenastream_standin::{LocalDeployment, TargetAnswerFault, wait_until};

use super::{TIMEOUT, WORKS, deployment::start};

/// Statuses that end a request for its caller, that promise that it has not run, and a success.
const STATUSES: [u16; 9] = [200, 302, 400, 401, 403, 404, 408, 413, 503];

/// Requests of each kind for each status.
const REQUESTS: u32 = 4;

/// How much longer the sound target takes: so much that the other one is preferred although it fails.
const SLOW_BY: Duration = Duration::from_millis(250);

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
    // Requests go to the faster target first.
    deployment.vms[0].target.set_fault(TargetAnswerFault::Slow(SLOW_BY));
    let faulty_runs = || deployment.vms[1].target.runs().len();
    for entry in [0, 1] {
        wait_until("both targets to be known", TIMEOUT, async || {
            let mut caller = deployment.vms[entry].caller().await.expect(WORKS);
            let answer = caller.get("/stock/1", "known", None).await.expect(WORKS);
            answer.body.starts_with("t-1 ")
        })
        .await
        .unwrap();
        for status in STATUSES {
            let seen = statuses(&deployment, (entry, 1), "/stock/1", status, 2).await;
            assert_eq!(seen, BTreeMap::from([(200, REQUESTS)]), "from {entry}: {status}");
            let seen = statuses(&deployment, (entry, 1), "/orders/1", status, 1).await;
            assert!(seen.keys().all(|it| matches!(it, 200 | 502)), "from {entry}: {seen:?}");
        }
        let faulty_runs = faulty_runs();
        assert!(faulty_runs >= STATUSES.len() * (entry + 1), "{faulty_runs} runs from {entry}");
    }
    deployment.close().unwrap();
}
