//! Tests of nodes that are stopped.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use galenastream_standin::{CallerConnection, TargetAnswerFault, request_bytes, wait_until};

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
