//! Answers that are lost, cut, late or no longer wanted, and requests for which there is no room.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::time::{Duration, Instant};

use galenastream_standin::{CallerAnswer, CallerRequest, TargetFaults, Vm, wait_until};
use http::Method;
use support::{Cluster, SERVICE, SETTINGS, WAIT_LIMIT, take_turn};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// A VM that owns a key, and another one through which its callers enter.
struct Path<'a> {
    owner: &'a Vm,
    entry: &'a Vm,
    key: String,
}

async fn path(cluster: &Cluster) -> Path<'_> {
    // The coordinator's own leases last only as long as its witnesses' promises.
    let coordinator = cluster.coordinator().await;
    let owner = (coordinator + 1) % 3;
    let key = cluster.key_of(owner).await;
    Path { owner: &cluster.vms[owner], entry: &cluster.vms[coordinator], key }
}

/// Makes an order of 1 ms take about 200 ms.
fn slow() -> TargetFaults {
    TargetFaults { slow_percent: 20_000, ..TargetFaults::default() }
}

async fn set_faults(cluster: &Cluster, vm: &Vm, faults: &TargetFaults) {
    let body = serde_json::to_vec(faults).unwrap();
    let request = CallerRequest::new(Method::POST, "/standin/faults").with_body(body);
    let answer = cluster.caller.call(vm.target_address, &request).await.unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
}

async fn ticket(cluster: &Cluster, path: &Path<'_>) -> String {
    let request = CallerRequest::new(Method::POST, format!("/{SERVICE}/galenastream/ticket"))
        .with_key(&path.key);
    let answer = cluster.caller.call(path.entry.caller_address, &request).await.unwrap();
    answer.header("galenastream-ticket").to_owned()
}

async fn reserve(cluster: &Cluster, path: &Path<'_>, ticket: &str) -> CallerAnswer {
    let request = CallerRequest::new(Method::POST, format!("/{SERVICE}/reservations"))
        .with_key(&path.key)
        .with_ticket(ticket)
        .with_deadline_ms(300);
    cluster.caller.call(path.entry.caller_address, &request).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_whose_answer_is_lost_is_unknown_and_never_runs_again() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("answer-lost", 3).await;
    let path = path(&cluster).await;
    for faults in [
        TargetFaults { drop_answers: 1, ..TargetFaults::default() },
        TargetFaults { half_answers: 1, ..TargetFaults::default() },
    ] {
        let ticket = ticket(&cluster, &path).await;
        set_faults(&cluster, path.owner, &faults).await;
        assert_eq!(reserve(&cluster, &path, &ticket).await.outcome(), "unknown", "{faults:?}");
        assert_eq!(reserve(&cluster, &path, &ticket).await.outcome(), "unknown", "{faults:?}");
        assert_eq!(cluster.judge().runs_of_ticket(&ticket), 1, "{faults:?}");
    }
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_whose_answer_is_cut_is_tried_again() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("read-cut", 3).await;
    let path = path(&cluster).await;
    let faults = TargetFaults { half_answers: 1, ..TargetFaults::default() };
    set_faults(&cluster, path.owner, &faults).await;
    let answer = cluster.read(path.entry.caller_address, &path.key).await.unwrap();
    assert_eq!(answer.outcome(), "ran");
    assert!(answer.json()["target"].is_string(), "{answer:?}");
    let retried = "galenastream_retries_total{service=\"catalogue\",reason=\"connection-lost\"} 1";
    assert!(cluster.metrics(path.entry).await.contains(retried));
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_the_order() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("caller-leaves", 3).await;
    let path = path(&cluster).await;
    set_faults(&cluster, path.owner, &slow()).await;
    let request = format!(
        "POST /{SERVICE}/reservations HTTP/1.1\r\nhost: n\r\ngalenastream-key: {}\r\n\
         galenastream-request-id: abandoned\r\ncontent-length: 0\r\n\r\n",
        path.key
    );
    let mut stream = TcpStream::connect(path.entry.caller_address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_for_event(path.owner, "taken").await;
    drop(stream);
    wait_for_event(path.owner, "cancelled").await;
    assert!(!cluster.judge().has_run("abandoned"));
    cluster.close();
}

async fn wait_for_event(vm: &Vm, event: &str) {
    let name = format!("the order to be {event}");
    wait_until(&name, WAIT_LIMIT, async || {
        let output = vm.target.output().unwrap();
        output.lines().any(|it| it.contains("\"abandoned\"") && it.contains(event))
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_room_is_refused_at_once_and_told_when_to_come_back() {
    let _turn = take_turn().await;
    let settings = SETTINGS.replacen(
        "[defaults]",
        "[defaults]\nslots = 2\nqueue_limit = 2\nqueue_wait_ms = 50\nretry_after_ms = 120",
        1,
    );
    let cluster = Cluster::start_with("no-room", 3, &settings, &["--check-grants"]).await;
    let path = path(&cluster).await;
    set_faults(&cluster, path.owner, &slow()).await;
    let request = CallerRequest::new(Method::GET, format!("/{SERVICE}/frames"))
        .with_key(&path.key)
        .with_deadline_ms(5_000);
    let calls = (0..30).map(|_| async {
        let began_at = Instant::now();
        let answer = cluster.caller.call(path.entry.caller_address, &request).await.unwrap();
        (answer, began_at.elapsed())
    });
    let answers = futures::future::join_all(calls).await;
    let refused: Vec<_> = answers.iter().filter(|it| it.0.outcome() == "not-run").collect();
    assert!(refused.len() >= 20, "{} of 30 were refused", refused.len());
    for (answer, took) in refused {
        assert_eq!(answer.header("galenastream-reason"), "overloaded", "{answer:?}");
        assert!(answer.retry_after_ms().unwrap() >= 120, "{answer:?}");
        assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
        assert!(*took < Duration::from_secs(1), "a refusal was held back for {took:?}");
    }
    cluster.close();
}
