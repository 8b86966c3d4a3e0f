//! Tests of targets that answer requests without their signature.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::{SinkExt, StreamExt};
use galenastream_runtime::{FrameLink, MemoryBudget};
use galenastream_standin::{
    CallerConnection, LocalDeployment, TargetAnswerFault, request_bytes, wait_until,
};
use galenastream_wire::{
    ForwardedReply, FrameCodec, NodeStatus, PeerFrame, ReplyOutcome, StatusSeen, TargetStatus,
    peer_frame::Body,
};
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

use super::{TIMEOUT, WORKS, deployment::start, forwarded::PEERS_PORT};

/// Statuses that end a request for its caller, that promise that it has not run, and a success.
const STATUSES: [u16; 11] = [200, 302, 400, 401, 403, 404, 408, 413, 421, 429, 503];

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
        for status in [200, 302, 404, 421, 503] {
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

/// Guards against requests that are not retried although the budget allows it, since requests without
/// another target have used it up.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_without_a_target_is_not_taken_from_the_budget() {
    /// More than the budget of a node allows in its window.
    const REQUESTS: usize = 40;
    let deployment = start("retries-without-target", &["stock", "carts"]).await;
    deployment.vms[0].target.set_fault(TargetAnswerFault::Unsigned(200));
    for number in 0..REQUESTS {
        let mut caller = deployment.vms[0].caller().await.expect(WORKS);
        let id = format!("alone-{number}");
        let answer = caller.get("/stock/1", &id, None).await.expect(WORKS);
        assert_eq!(answer.status, 502, "{answer:?}");
    }
    let operator = CallerConnection::connect(deployment.vms[0].metrics_address());
    let page = operator.await.expect(WORKS).get("/metrics", "metrics", None).await.expect(WORKS);
    let retries: Vec<&str> =
        page.body.lines().filter(|it| it.starts_with("galenastream_retries_total")).collect();
    assert_eq!(retries, Vec::<&str>::new());
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

/// A node that answers every request in the place of the target beside it, without its signature.
async fn serve_unsigned_replies(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut frames = Framed::new(stream, FrameCodec::<PeerFrame>::new());
        tokio::spawn(async move {
            while let Some(Ok(frame)) = frames.next().await {
                let body = match frame.body {
                    Some(Body::Status(_)) => Body::StatusSeen(StatusSeen::default()),
                    Some(Body::Request(_)) => Body::Reply(ForwardedReply {
                        outcome: ReplyOutcome::Answered as i32,
                        status: 404,
                        ..Default::default()
                    }),
                    _ => continue,
                };
                let reply = PeerFrame { correlation: frame.correlation, body: Some(body) };
                frames.send(reply).await.expect(WORKS);
            }
        });
    }
}

/// Guards against unsigned answers that another node passes on, as earlier versions do.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsigned_answer_from_another_node_does_not_end_a_request_for_good() {
    let deployment = start("unsigned-peer", &["carts"]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect(WORKS);
    let address = listener.local_addr().expect(WORKS).to_string();
    tokio::spawn(serve_unsigned_replies(listener));
    let vm = &deployment.vms[0];
    let peers = SocketAddr::new(vm.ip, PEERS_PORT);
    let link =
        FrameLink::<PeerFrame>::connect(peers, MemoryBudget::new(1024 * 1024)).await.expect(WORKS);
    let target = TargetStatus {
        service: "stock".to_owned(),
        id: "i-9".to_owned(),
        slots: 4,
        ..Default::default()
    };
    let status = NodeStatus {
        node: "another".to_owned(),
        address,
        data_centre: "east".to_owned(),
        config_version: 1,
        reaches_store: true,
        target: Some(target),
        ..Default::default()
    };
    link.call(Body::Status(status), TIMEOUT).await.expect(WORKS);
    let mut number = 0;
    wait_until("the request to reach the other node", TIMEOUT, async || {
        number += 1;
        let mut caller = vm.caller().await.expect(WORKS);
        let answer = caller.get("/stock/1", &format!("peer-{number}"), None).await.expect(WORKS);
        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
        answer.status == 502
    })
    .await
    .expect(WORKS);
    deployment.close().unwrap();
}
