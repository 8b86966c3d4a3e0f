//! Tests of nodes that stop while answers that they have written are still being read.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{FutureExt, SinkExt, StreamExt};
use galenastream_standin::{
    DeploymentPlan, LocalDeployment, LocalVm, RawAnswer, RawTarget, VmPlan, request_bytes,
    wait_until,
};
use galenastream_wire::{
    ForwardedRequest, FrameCodec, NodeStatus, PeerFrame, ReplyOutcome, peer_frame::Body,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{interval, sleep},
};
use tokio_util::codec::Framed;

use super::{TIMEOUT, WORKS, forwarded::PEERS_PORT};

/// The longest download of the users' deployments.
const DOWNLOAD_BYTES: usize = 540_000;

/// An answer of which most waits at the node while its reader reads nothing.
const LONG_BYTES: usize = 6 * 1024 * 1024;

/// The receive buffer of a caller, so that the rest of an answer waits at the node.
const RECEIVE_BUFFER_BYTES: u32 = 65_536;

/// How much a slow caller reads at once, and the pause after it: 300 kB/s.
const READ_BYTES: usize = 30_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The pause of a slow node after each part of a reply. A node that reads nothing for 1.5 s is taken
/// for lost.
const PART_PAUSE: Duration = Duration::from_millis(60);

/// How long a caller reads nothing of the last answer on a connection.
const CLOSED_PAUSE: Duration = Duration::from_millis(1_500);

/// How often a node sends its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longer than a stopping node runs that has nothing left to do.
const IDLE_STOP_TIME: Duration = Duration::from_millis(3_000);

/// Starts a VM whose target answers with a body of this many bytes.
async fn start_vm(name: &str, body_bytes: usize) -> (LocalDeployment, LocalVm, RawTarget) {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &[]);
    plan.vms = vec![VmPlan::new("stock")];
    let mut deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    let complete = RawAnswer::Complete(0);
    let target = deployment.vms[0].start_raw_target(complete).await.expect(WORKS);
    wait_until("the new target to be known", TIMEOUT, async || {
        let mut caller = deployment.vms[0].caller().await.expect(WORKS);
        caller.get("/stock/1", "known", None).await;
        target.runs().contains(&"known".to_owned())
    })
    .await
    .expect(WORKS);
    target.set_answer(RawAnswer::Complete(body_bytes));
    let vm = deployment.vms.remove(0);
    (deployment, vm, target)
}

async fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect(WORKS);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect(WORKS);
    socket.connect(address).await.expect(WORKS)
}

async fn send(caller: &mut TcpStream, id: &str) {
    let request = request_bytes("GET", "/stock/1", id, None);
    caller.write_all(request.as_bytes()).await.expect(WORKS);
}

async fn wait_for_run(target: &RawTarget, id: &str) {
    wait_until("the request to run", TIMEOUT, async || target.runs().iter().any(|it| it == id))
        .await
        .expect(WORKS);
}

/// Reads slowly until the node closes the connection. Returns the number of bytes.
async fn read_slowly(caller: &mut TcpStream, unread_bytes: usize) -> std::io::Result<usize> {
    let mut part = vec![0; READ_BYTES];
    let mut read_bytes = 0;
    loop {
        match caller.read(&mut part).await? {
            0 => return Ok(read_bytes),
            count => read_bytes += count,
        }
        if read_bytes < unread_bytes {
            sleep(READ_PAUSE).await;
        }
    }
}

/// Guards against answers that are cut off by a reset: the node closed the connection while its caller
/// still read, and the caller sent a further request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_delivers_the_last_answers_of_a_connection_whole() {
    let (deployment, mut vm, target) = start_vm("last-answers", DOWNLOAD_BYTES).await;
    let mut caller = connect_with_small_window(vm.callers_address()).await;
    let (stopped, read) = tokio::join!(vm.stop_node(), async {
        sleep(Duration::from_millis(500)).await;
        send(&mut caller, "first").await;
        send(&mut caller, "second").await;
        wait_for_run(&target, "second").await;
        let (mut reader, mut writer) = caller.split();
        let mut part = vec![0; READ_BYTES];
        let mut read_bytes = 0;
        let mut is_third_sent = false;
        loop {
            match reader.read(&mut part).await? {
                0 => return Ok::<usize, std::io::Error>(read_bytes),
                count => read_bytes += count,
            }
            sleep(READ_PAUSE).await;
            // Most of the first answer is read, and the caller has not seen yet that the second one
            // closes the connection.
            if read_bytes > DOWNLOAD_BYTES * 4 / 5 && !is_third_sent {
                is_third_sent = true;
                let request = request_bytes("GET", "/stock/1", "third", None);
                writer.write_all(request.as_bytes()).await.expect(WORKS);
            }
        }
    });
    assert!(stopped.expect(WORKS).success());
    let read_bytes = read.expect("the connection ends without a reset");
    assert!(read_bytes > 2 * DOWNLOAD_BYTES, "{read_bytes}");
    assert!(!target.runs().contains(&"third".to_owned()));
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against the same reset without a stop, on a connection that the caller asks to close.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_kept_until_its_caller_has_read_the_last_answer() {
    let (deployment, vm, target) = start_vm("asked-to-close", DOWNLOAD_BYTES).await;
    let mut caller = connect_with_small_window(vm.callers_address()).await;
    let request = request_bytes("GET", "/stock/1", "last", None);
    let request = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    caller.write_all(request.as_bytes()).await.expect(WORKS);
    wait_for_run(&target, "last").await;
    sleep(CLOSED_PAUSE).await;
    send(&mut caller, "unread").await;
    sleep(READ_PAUSE).await;
    let read_bytes = read_slowly(&mut caller, 0).await;
    let read_bytes = read_bytes.expect("the connection ends without a reset");
    assert!(read_bytes > DOWNLOAD_BYTES, "{read_bytes}");
    assert!(!target.runs().contains(&"unread".to_owned()));
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against a reset that cuts off an answer from before the stop on a kept connection: the
/// process exited while its caller still read, and the caller sent a further request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_delivers_an_answer_from_before_its_stop_whole() {
    let (deployment, mut vm, target) = start_vm("kept-answer", DOWNLOAD_BYTES).await;
    let mut caller = connect_with_small_window(vm.callers_address()).await;
    send(&mut caller, "first").await;
    wait_for_run(&target, "first").await;
    // The node has handed the whole answer to the kernel.
    sleep(Duration::from_millis(200)).await;
    let (stopped, read) = tokio::join!(vm.stop_node(), async {
        sleep(IDLE_STOP_TIME).await;
        send(&mut caller, "second").await;
        sleep(READ_PAUSE).await;
        read_slowly(&mut caller, DOWNLOAD_BYTES / 2).await
    });
    assert!(stopped.expect(WORKS).success());
    let read_bytes = read.expect("the connection ends without a reset");
    assert!(read_bytes > DOWNLOAD_BYTES, "{read_bytes}");
    assert!(!target.runs().contains(&"second".to_owned()));
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against a stop that takes longer since it waits for a node whose VM has vanished: its
/// connection is neither used nor closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_does_not_wait_for_a_node_that_has_vanished() {
    let (deployment, mut vm, _target) = start_vm("vanished-node", 0).await;
    let stream = TcpStream::connect(SocketAddr::new(vm.ip, PEERS_PORT)).await.expect(WORKS);
    let mut link = Framed::new(stream, FrameCodec::<PeerFrame>::new());
    let status = Body::Status(NodeStatus::default());
    link.send(PeerFrame { correlation: 1, body: Some(status) }).await.expect(WORKS);
    assert!(link.next().await.expect(WORKS).is_ok());
    sleep(IDLE_STOP_TIME).await;
    assert!(vm.stop_node().await.expect(WORKS).success());
    let has_waited =
        vm.log().iter().any(|it| it["kvs"]["event"] == "connection_not_closed_by_peer");
    assert!(!has_waited);
    vm.close();
    deployment.close().expect(WORKS);
}

/// Guards against replies to another node that are cut off: the process exited while the other node
/// had not read them yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_delivers_a_reply_to_a_slow_node_whole() {
    let (deployment, mut vm, target) = start_vm("slow-node-reply", LONG_BYTES).await;
    let address = SocketAddr::new(vm.ip, PEERS_PORT);
    let stream = connect_with_small_window(address).await;
    let mut link = Framed::new(stream, FrameCodec::<PeerFrame>::new());
    let request = ForwardedRequest {
        request_id: "forwarded".to_owned(),
        target_id: "t-0-2".to_owned(),
        method: "GET".to_owned(),
        path: "/stock/1".to_owned(),
        host: "shop.example".to_owned(),
        remaining_ms: 1_500,
        prompt_ms: 1_500,
        is_idempotent: true,
        target_latency_ms: 900,
        headers: vec![galenastream_wire::Header {
            name: "x-request-id".to_owned(),
            value: "forwarded".into(),
        }],
        ..Default::default()
    };
    let frame_of = |correlation, body| PeerFrame { correlation, body: Some(body) };
    link.send(frame_of(1, Body::Request(request))).await.expect(WORKS);
    wait_for_run(&target, "forwarded").await;
    let began_at = Instant::now();
    let mut statuses = interval(STATUS_INTERVAL);
    let (stopped, read) = tokio::join!(vm.stop_node(), async {
        let (mut read_bytes, mut outcome) = (0, None);
        while let Some(frame) = link.next().await {
            match frame.expect("the connection ends without a reset").body {
                Some(Body::Part(part)) => {
                    read_bytes += part.bytes.len();
                    if !part.message.is_empty() {
                        outcome = Some(ReplyOutcome::Answered);
                    }
                }
                Some(Body::Reply(reply)) => panic!("{reply:?}"),
                _ => {}
            }
            if statuses.tick().now_or_never().is_some() {
                let status = Body::Status(NodeStatus::default());
                link.send(frame_of(2, status)).await.expect(WORKS);
            }
            if began_at.elapsed() < IDLE_STOP_TIME {
                sleep(PART_PAUSE).await;
            }
        }
        (read_bytes, outcome)
    });
    assert!(stopped.expect(WORKS).success());
    assert_eq!(read, (LONG_BYTES, Some(ReplyOutcome::Answered)));
    vm.close();
    deployment.close().expect(WORKS);
}
