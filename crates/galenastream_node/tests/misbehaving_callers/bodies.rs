//! Bodies with a length.

use bytes::{Bytes, BytesMut};

use super::{
    MANY, MAX_BODY_BYTES, MEDIUM_BODY_BYTES, SHORT_BODY_BYTES,
    crowd::{Crowd, Script},
    scene::{Scene, request},
};

/// Connections whose long bodies exceed the memory of a node, and ones that send far more than allowed.
const MANY_LONG: usize = 60;

/// Connections whose pipelined requests exceed the memory of a node, and the requests on each.
const PIPELINES: usize = 400;
const PIPELINED: usize = 16;

/// An announced length far over the limit, and how much of such a body is sent.
const FAR_TOO_LONG_BYTES: usize = 1 << 40;
const SENT_BYTES: usize = 4 * MAX_BODY_BYTES;

fn pipeline(path: &str) -> Bytes {
    let one = request(path, SHORT_BODY_BYTES, SHORT_BODY_BYTES);
    let mut all = BytesMut::new();
    for _ in 0..PIPELINED {
        all.extend_from_slice(&one);
    }
    all.freeze()
}

/// Guards against bodies of which the first part counts for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn short_bodies_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("short-stop", &["stock"]).await;
    let script = Script::whole(request("/orders/1", SHORT_BODY_BYTES + 1, SHORT_BODY_BYTES));
    scene.play(MANY, &script).await;
}

/// Guards against buffers that grow with each piece and count for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn short_bodies_that_arrive_in_pieces_and_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("short-pieces", &["stock"]).await;
    let bytes = request("/orders/1", SHORT_BODY_BYTES + 1, SHORT_BODY_BYTES);
    scene.play(MANY, &Script::in_pieces(bytes, 1_024)).await;
}

/// Guards against memory that the answer to an earlier request makes the node forget.
#[tokio::test(flavor = "multi_thread")]
async fn short_bodies_that_stop_behind_another_request_do_not_fill_the_memory() {
    let scene = Scene::start("behind", &["stock"]).await;
    let mut bytes = BytesMut::from(&request("/unknown/", 0, 0)[..]);
    bytes.extend_from_slice(&request("/orders/1", SHORT_BODY_BYTES + 1, SHORT_BODY_BYTES));
    scene.play(MANY, &Script::whole(bytes)).await;
}

/// Guards against bodies that are held in a buffer beside the one that counts.
#[tokio::test(flavor = "multi_thread")]
async fn medium_bodies_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("medium-stop", &["stock"]).await;
    let script = Script::whole(request("/orders/1", MEDIUM_BODY_BYTES + 1, MEDIUM_BODY_BYTES));
    scene.play(MANY, &script).await;
}

/// Guards against long bodies that count for nothing, and stalled ones that keep all room for long bodies.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("long-stop", &["stock"]).await;
    let script = Script::whole(request("/orders/1", MAX_BODY_BYTES, MAX_BODY_BYTES - 1));
    let crowd = Crowd::start(scene.callers(0), MANY_LONG, &script);
    crowd.settle().await;
    scene.assert_serves().await;
    scene.assert_serves_long().await;
    crowd.close().await;
    scene.close().await;
}

/// Guards against the same in pieces.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_that_arrive_in_pieces_and_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("long-pieces", &["stock"]).await;
    let bytes = request("/orders/1", MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    scene.play(MANY_LONG, &Script::in_pieces(bytes, 16 * 1_024)).await;
}

/// Guards against requests that wait for a slot and count for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn whole_short_bodies_for_a_slow_service_do_not_fill_the_memory() {
    let scene = Scene::start("short-whole", &["stock"]).await;
    let script = Script::whole(request("/orders/1", SHORT_BODY_BYTES, SHORT_BODY_BYTES));
    scene.play_slow(&[0], MANY, &[script]).await;
}

/// Guards against pipelined requests that count for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_bodies_for_a_slow_service_do_not_fill_the_memory() {
    let scene = Scene::start("pipelined", &["stock"]).await;
    let script = Script::whole(pipeline("/orders/1"));
    scene.play_slow(&[0], PIPELINES, &[script]).await;
}

/// Guards against requests that wait unread in the kernel.
#[tokio::test(flavor = "multi_thread")]
async fn more_pipelined_bodies_than_a_node_reads_do_not_fill_the_memory() {
    let scene = Scene::start("pipelined-on", &["stock"]).await;
    let script = Script::repeated(pipeline("/orders/1"), 4);
    scene.play_slow(&[0], MANY, &[script]).await;
}

/// Guards against requests that count at their entry and not at the node they are passed to.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_for_a_slow_service_beside_another_node_do_not_fill_the_memory() {
    let scene = Scene::start("forwarded", &["carts", "carts", "stock"]).await;
    let script = Script::whole(pipeline("/orders/1"));
    scene.play_slow(&[0, 1], PIPELINES, &[script]).await;
}

/// Guards against bodies that are collected before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_announce_far_more_than_allowed_do_not_fill_the_memory() {
    let scene = Scene::start("announced", &["stock"]).await;
    let bytes = request("/orders/1", FAR_TOO_LONG_BYTES, SENT_BYTES);
    scene.play(MANY_LONG, &Script::in_pieces(bytes, 256 * 1_024)).await;
}
