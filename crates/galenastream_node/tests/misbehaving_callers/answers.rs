//! Answers that are not read.

use std::time::Duration;

use bytes::Bytes;
use galenastream_standin::{RawAnswer, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
};

use super::{
    TIMEOUT, TOO_MANY, WORKS,
    crowd::{Crowd, SMALL_WINDOW_BYTES, Script},
    scene::{Scene, request},
};

/// The size of the answers, and how many are requested on each connection.
const ANSWER_BYTES: usize = 60_000;
const REQUESTS: usize = 16;

/// Connections whose answers exceed the memory of a node.
const READERS: usize = 200;

/// An answer that the kernel keeps for a caller which does not read it yet.
const PENDING_BYTES: usize = 7_000;

/// Requests from which the node learns how fast the target is.
const WARM_UP: usize = 200;

/// How long the requests of a connection may take to run. Some are refused.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Guards against a crowd that takes answers from ordinary callers which have not read them yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_read_yet_outlives_the_close_of_its_connection() {
    let mut scene = Scene::start("pending", &["carts", "stock"]).await;
    let answer = RawAnswer::Complete(PENDING_BYTES);
    let target = scene.deployment.vms[1].start_raw_target(answer).await.expect("the target starts");
    scene.assert_serves().await;
    let socket = TcpSocket::new_v4().expect(WORKS);
    socket.set_recv_buffer_size(SMALL_WINDOW_BYTES).expect(WORKS);
    let mut caller = socket.connect(scene.callers(1)).await.expect(WORKS);
    let runs = target.runs().len();
    caller.write_all(&request("/stock/1", 0, 0)).await.expect(WORKS);
    wait_until("the request to run", TIMEOUT, async || target.runs().len() > runs)
        .await
        .expect(WORKS);
    let crowd = Crowd::start(scene.callers(1), TOO_MANY, &Script::whole(Bytes::new()));
    crowd.settle().await;
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.expect("the connection ends without a reset");
    assert!(answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(&[b'x'; PENDING_BYTES]));
    target.set_answer(RawAnswer::Complete(0));
    crowd.close().await;
    scene.close().await;
}

/// Guards against answers that count for nothing once they are written, or in the queues of the kernel.
#[tokio::test(flavor = "multi_thread")]
async fn short_answers_that_are_not_read_do_not_fill_the_memory() {
    let mut scene = Scene::start("unread", &["carts", "stock"]).await;
    let answer = RawAnswer::Complete(ANSWER_BYTES);
    let target = scene.deployment.vms[1].start_raw_target(answer).await.expect("the target starts");
    wait_until("the new target to be known", TIMEOUT, async || {
        let mut caller = scene.deployment.vms[1].caller().await.expect(WORKS);
        caller.get("/stock/1", "warm", None).await;
        target.runs().len() >= WARM_UP
    })
    .await
    .expect(WORKS);
    let script = Script::repeated(request("/stock/1", 0, 0), REQUESTS).with_small_window();
    let mut readers = Vec::new();
    // One after the other, since the target has few slots.
    for _ in 0..READERS {
        let runs = target.runs().len();
        readers.push(Crowd::start(scene.callers(1), 1, &script));
        // Some requests may be refused.
        let _ =
            wait_until("the requests", RUN_TIME, async || target.runs().len() >= runs + REQUESTS)
                .await;
    }
    target.set_answer(RawAnswer::Complete(0));
    scene.assert_serves().await;
    for reader in readers {
        reader.close().await;
    }
    scene.close().await;
}
