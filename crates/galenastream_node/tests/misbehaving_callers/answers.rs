//! Answers that are not read.

use std::time::Duration;

use galenastream_standin::{RawAnswer, wait_until};

use super::{
    TIMEOUT, WORKS,
    crowd::{Crowd, Script},
    scene::{Scene, request},
};

/// The size of the answers, and how many are requested on each connection.
const ANSWER_BYTES: usize = 60_000;
const REQUESTS: usize = 16;

/// Connections whose answers exceed the memory of a node.
const READERS: usize = 200;

/// Requests from which the node learns how fast the target is.
const WARM_UP: usize = 200;

/// How long the requests of a connection may take to run. Some are refused.
const RUN_TIME: Duration = Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread")]
async fn short_answers_that_are_not_read() {
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
