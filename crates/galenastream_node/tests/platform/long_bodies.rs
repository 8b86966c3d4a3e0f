//! Tests of long bodies between two nodes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use galenastream_standin::{
    CallerAnswer, DeploymentPlan, LimitFields, LocalDeployment, LocalVm, RawAnswer, RawTarget,
    TargetCapacity, VmPlan, request_bytes, wait_until,
};
use galenastream_wire::{FrameCodec, Part, PeerFrame, ReplyOutcome, ReplyReason, peer_frame::Body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use tokio_util::codec::Framed;

use super::{
    TIMEOUT, WORKS,
    endless_answer::{MEMORY_LIMIT_KB, assert_memory, peak_memory_kb},
    forwarded::PEERS_PORT,
};

/// Slots of each target: enough for all requests of a test.
const SLOTS: u32 = 64;

/// The longest body that a config allows.
const MAX_CONFIG_BYTES: usize = 64 * 1024 * 1024;

/// A body that is longer than the messages between nodes once could be, and shorter than the
/// longest one that nodes promise to carry.
const LONG_BYTES: usize = 6 * 1024 * 1024;

/// The longest download of the users' deployments.
const DOWNLOAD_BYTES: usize = 540_000;

/// A body that is longer than the longest one that nodes promise to carry.
const TOO_LONG_BYTES: usize = 20 * 1024 * 1024;

/// The size of the parts of a message without end, and their number: four times the memory that a
/// node may use.
const PART_BYTES: usize = 64 * 1024;
const ENDLESS_PARTS: u64 = 8_320;

/// Callers that read slowly, and how long they read nothing. Their answers are more than the memory that
/// a node may use.
const SLOW_READERS: usize = 300;
const UNREAD_TIME: Duration = Duration::from_millis(5_000);

/// The pause of a slow caller after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The receive buffer of a slow caller, so that the rest of its answer waits at the node.
const SMALL_WINDOW_BYTES: u32 = 16_384;

/// Long bodies at once; more than twice what the budget of a node holds.
const MANY: usize = 24;

/// Starts two VMs, of which the second one has the only target of `stock`, so that requests at the
/// first one pass one link.
async fn start_pair(name: &str) -> (LocalDeployment, RawTarget) {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let mut plan = DeploymentPlan::shop(name, program, &[]);
    let limits = LimitFields { max_body_bytes: MAX_CONFIG_BYTES, ..LimitFields::default() };
    plan.config = Some(DeploymentPlan::limited_shop_config(1, "/stock/", limits));
    let capacity = TargetCapacity { slots: SLOTS, ..Default::default() };
    plan.vms = ["carts", "stock"].map(|it| VmPlan::new(it).with_capacity(capacity)).to_vec();
    let mut deployment = LocalDeployment::start(&plan).await.expect("the deployment starts");
    let complete = RawAnswer::Complete(0);
    let target = deployment.vms[1].start_raw_target(complete).await.expect(WORKS);
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
    let (deployment, target) = start_pair("too-long").await;
    let entry = &deployment.vms[0];
    let answer = beside_another_request(entry, post(entry, "too-long", TOO_LONG_BYTES)).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(!target.runs().contains(&"too-long".to_owned()), "a refused request has not run");
    // The target beside the caller's node gets any body that the config allows.
    let answer = post(&deployment.vms[1], "beside", TOO_LONG_BYTES).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("x-body-bytes"), Some(TOO_LONG_BYTES.to_string().as_str()));
    deployment.close().unwrap();
}

/// Guards against requests that are never served since their bodies do not fit into a frame.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_body_reaches_a_target_beside_another_node() {
    let (deployment, target) = start_pair("long-request").await;
    let entry = &deployment.vms[0];
    let answer = beside_another_request(entry, post(entry, "long", LONG_BYTES)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("x-body-bytes"), Some(LONG_BYTES.to_string().as_str()));
    assert_eq!(target.runs().iter().filter(|it| *it == "long").count(), 1);
    assert_memory(&deployment);
    deployment.close().unwrap();
}

/// Guards against an answer that ends the link between two nodes, and with it the requests of others
/// in progress there, because it is too long for a frame.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_of_a_target_beside_another_node_is_complete() {
    let (deployment, target) = start_pair("long-answer").await;
    let entry = &deployment.vms[0];
    target.set_answer(RawAnswer::Complete(LONG_BYTES));
    let answer = beside_another_request(entry, post(entry, "long", 1)).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body.len(), LONG_BYTES);
    assert!(answer.body.bytes().all(|it| it == b'x'));
    assert_eq!(target.runs().iter().filter(|it| *it == "long").count(), 1);
    assert_memory(&deployment);
    deployment.close().unwrap();
}

/// Guards against requests of others that wait until a long body has been sent.
#[tokio::test(flavor = "multi_thread")]
async fn short_requests_are_answered_while_long_bodies_pass_the_same_link() {
    let (deployment, target) = start_pair("long-and-short").await;
    let entry = &deployment.vms[0];
    target.set_answer(RawAnswer::Complete(LONG_BYTES));
    let long = async {
        let posts = (0..4).map(|it| async move {
            let id = format!("long-{it}");
            post(entry, &id, LONG_BYTES).await
        });
        futures::future::join_all(posts).await
    };
    let short = async {
        let mut caller = entry.caller().await.expect(WORKS);
        let mut statuses = Vec::new();
        for number in 0..20 {
            let id = format!("short-{number}");
            statuses.push(caller.get("/stock/complete", &id, None).await.expect(WORKS).status);
        }
        statuses
    };
    let (long, short) = tokio::join!(long, short);
    assert!(short.iter().all(|it| *it == 200), "{short:?}");
    for answer in long {
        assert_eq!((answer.status, answer.body.len()), (200, LONG_BYTES));
    }
    deployment.close().unwrap();
}

/// Guards against long answers that are each allowed and together exceed the memory of a node.
#[tokio::test(flavor = "multi_thread")]
async fn many_long_answers_at_once_are_complete_or_lost_and_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_pair("many-long").await;
    let entry = &deployment.vms[0];
    target.set_answer(RawAnswer::Complete(LONG_BYTES));
    let posts = (0..MANY).map(|it| async move { post(entry, &format!("long-{it}"), 1).await });
    let answers = beside_another_request(entry, futures::future::join_all(posts)).await;
    for answer in &answers {
        let is_complete = answer.status == 200 && answer.body.len() == LONG_BYTES;
        assert!(is_complete || matches!(answer.status, 502 | 504), "{}", answer.status);
    }
    let runs = target.runs();
    for number in 0..MANY {
        let id = format!("long-{number}");
        assert_eq!(runs.iter().filter(|it| **it == id).count(), 1, "{id}");
    }
    // Budgets are given back.
    let answer = post(entry, "after", 1).await;
    assert_eq!((answer.status, answer.body.len()), (200, LONG_BYTES));
    assert_memory(&deployment);
    deployment.close().unwrap();
}

/// Guards against a node that sends parts of messages without end, be it of one message or of many.
#[tokio::test(flavor = "multi_thread")]
async fn parts_without_end_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_pair("endless-parts").await;
    let address = SocketAddr::new(deployment.vms[1].ip, PEERS_PORT);
    let stream = TcpStream::connect(address).await.unwrap();
    let mut link = Framed::new(stream, FrameCodec::<PeerFrame>::new());
    let bytes = Bytes::from(vec![0; PART_BYTES]);
    let part = |correlation, offset| {
        let part = Part { offset, bytes: bytes.clone(), message: Bytes::new() };
        PeerFrame { correlation, body: Some(Body::Part(part)) }
    };
    for number in 0..ENDLESS_PARTS {
        link.send(part(1, number * PART_BYTES as u64)).await.unwrap();
    }
    for correlation in 2..ENDLESS_PARTS {
        link.send(part(correlation, 0)).await.unwrap();
    }
    let mut refused = Vec::new();
    for _ in 0..2 {
        let frame = link.next().await.unwrap().unwrap();
        let Some(Body::Reply(reply)) = frame.body else {
            panic!("{frame:?}");
        };
        assert_eq!(reply.outcome, ReplyOutcome::NotSent as i32);
        assert_eq!(reply.reason, ReplyReason::RequestTooLong as i32);
        refused.push(frame.correlation);
    }
    assert_eq!(refused[0], 1, "the endless message is refused first: {refused:?}");
    let mut caller = deployment.vms[0].caller().await.unwrap();
    assert_eq!(caller.get("/stock/complete", "after", None).await.unwrap().status, 200);
    assert!(target.runs().contains(&"after".to_owned()));
    assert_memory(&deployment);
    deployment.close().unwrap();
}

/// Requests an answer until it is not refused, and returns the connection, of which no more than the status
/// is read. Returns `None` if all is refused `until` then.
async fn connect_slow_reader(
    address: SocketAddr,
    reader: usize,
    until: Instant,
) -> Option<TcpStream> {
    let mut attempt = 0;
    while Instant::now() < until {
        let socket = TcpSocket::new_v4().expect(WORKS);
        socket.set_recv_buffer_size(SMALL_WINDOW_BYTES).expect(WORKS);
        let mut caller = socket.connect(address).await.expect(WORKS);
        let id = format!("slow-{reader}-{attempt}");
        let request = request_bytes("GET", "/stock/1", &id, None);
        caller.write_all(request.as_bytes()).await.expect(WORKS);
        let mut head = [0; 12];
        caller.read_exact(&mut head).await.expect("the node answers");
        if head.ends_with(b"200") {
            tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
            return Some(caller);
        }
        assert!(head.ends_with(b"503"), "{:?}", String::from_utf8_lossy(&head));
        attempt += 1;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}

/// Guards against callers that read slowly and fill the memory of a node: the answers that they had not
/// read counted for nothing. What cannot be held is refused before it runs.
#[tokio::test(flavor = "multi_thread")]
async fn many_slow_readers_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_pair("slow-readers").await;
    let config = DeploymentPlan::shop_config(2, "/stock/").to_string();
    let config = config.replacen("\"safe\"", "\"download\"", 2);
    deployment.store.put("op", "config", config.as_bytes());
    target.set_answer(RawAnswer::Complete(DOWNLOAD_BYTES));
    // Beside the target, no answer waits for the link.
    let entry = &deployment.vms[1];
    // The size of the answers is known from the first ones.
    wait_until("an answer", TIMEOUT, async || {
        let mut caller = entry.caller().await.expect(WORKS);
        let answer = caller.get("/stock/1", "first", None).await.expect(WORKS);
        answer.body.len() == DOWNLOAD_BYTES
    })
    .await
    .expect(WORKS);
    let address = entry.callers_address();
    let until = Instant::now() + UNREAD_TIME;
    let readers = (0..SLOW_READERS).map(|reader| connect_slow_reader(address, reader, until));
    let readers = futures::future::join_all(readers).await;
    let served = readers.iter().flatten().count();
    assert!(served > 20, "{served} served");
    assert_memory(&deployment);
    deployment.close().unwrap();
}

/// Guards against a stopping node that cuts off a caller which reads its answer slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_lets_a_slow_caller_read_its_whole_answer() {
    let (mut deployment, target) = start_pair("slow-caller").await;
    target.set_answer(RawAnswer::Complete(LONG_BYTES));
    let mut caller = TcpStream::connect(deployment.vms[0].callers_address()).await.expect(WORKS);
    let request = request_bytes("GET", "/stock/1", "slow", None);
    caller.write_all(request.as_bytes()).await.expect(WORKS);
    wait_until("the request to run", TIMEOUT, async || target.runs().contains(&"slow".to_owned()))
        .await
        .expect(WORKS);
    let mut vm = deployment.vms.remove(0);
    let mut answer = Vec::new();
    let (stopped, read) = tokio::join!(vm.stop_node(), async {
        // Longer than a stopping node goes on without requests in progress.
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        caller.read_to_end(&mut answer).await
    });
    assert!(stopped.expect(WORKS).success());
    read.expect("the connection ends without a reset");
    assert!(answer.starts_with(b"HTTP/1.1 200") && answer.len() > LONG_BYTES, "{}", answer.len());
    vm.close();
    deployment.close().expect(WORKS);
}

/// Downloads wait for turns on the link, in parts, and arrive whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_from_a_target_beside_another_node_is_complete() {
    let (deployment, target) = start_pair("download").await;
    let config = DeploymentPlan::shop_config(2, "/stock/").to_string();
    let config = config.replacen("\"safe\"", "\"download\"", 2);
    deployment.store.put("op", "config", config.as_bytes());
    wait_until("the config to be in force", TIMEOUT, async || {
        deployment.vms.iter().all(|vm| {
            vm.log()
                .iter()
                .any(|it| it["kvs"]["event"] == "config_in_force" && it["kvs"]["version"] == 2)
        })
    })
    .await
    .expect(WORKS);
    for bytes in [0, 100, DOWNLOAD_BYTES] {
        target.set_answer(RawAnswer::Complete(bytes));
        let mut caller = deployment.vms[0].caller().await.expect(WORKS);
        let answer = caller.get("/stock/1", &format!("of {bytes}"), None).await.expect(WORKS);
        assert_eq!((answer.status, answer.body.len()), (200, bytes));
    }
    deployment.close().expect(WORKS);
}

/// Bodies of callers that together exceed the memory of a node, and close to the longest that the config
/// allows.
const UPLOADS: usize = 6;
const UPLOAD_BYTES: usize = 60 * 1024 * 1024;

/// Guards against bodies of callers that fill the memory of a node, which the platform then kills.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_of_callers_do_not_fill_the_memory_of_a_node() {
    let (deployment, target) = start_pair("uploads").await;
    let vm = &deployment.vms[1];
    let ids: Vec<String> = (0..UPLOADS).map(|it| format!("upload-{it}")).collect();
    let uploads = ids.iter().map(|id| post(vm, id, UPLOAD_BYTES));
    let answers = futures::future::join_all(uploads).await;
    let peak_kb = peak_memory_kb(vm);
    assert!(peak_kb < MEMORY_LIMIT_KB, "{peak_kb} kB");
    let runs = target.runs();
    let mut served = 0;
    for (id, answer) in ids.iter().zip(&answers) {
        let has_run = runs.contains(id);
        match answer.status {
            200 => served += 1,
            503 => {
                assert!(!has_run && answer.header("retry-after").is_some(), "{id}: {answer:?}");
                assert!(answer.body.contains("no-memory"), "{id}: {answer:?}");
            }
            _ => panic!("{id}: {answer:?}"),
        }
    }
    assert!((1..UPLOADS).contains(&served), "{answers:?}");
    // The memory is free again.
    for round in 0..3 {
        let answer = post(vm, &format!("later-{round}"), UPLOAD_BYTES).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    deployment.close().unwrap();
}
