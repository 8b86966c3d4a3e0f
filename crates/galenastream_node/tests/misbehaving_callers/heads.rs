//! Heads of requests.

use bytes::{BufMut, Bytes, BytesMut};

use super::{
    MANY, MAX_HEADER_BYTES, TOO_MANY,
    crowd::Script,
    scene::{Scene, head},
};

/// Connections whose heads take more memory than the node has once they are parsed, and the requests on
/// each.
const PIPELINES: usize = 60;
const PIPELINED: usize = 16;

/// A head of a legal size with as many headers as fit.
fn head_of_many_headers() -> Bytes {
    let mut bytes = BytesMut::from(head("/orders/1").as_bytes());
    while bytes.len() < MAX_HEADER_BYTES - 64 {
        bytes.put_slice(b"a:\r\n");
    }
    bytes.put_slice(b"Content-Length: 0\r\n\r\n");
    bytes.freeze()
}

/// Guards against heads that count for nothing while they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_do_not_fill_the_memory() {
    let scene = Scene::start("endless-heads", &["stock"]).await;
    let mut bytes = BytesMut::from(head("/orders/1").as_bytes());
    bytes.put_slice(b"X-Long: ");
    bytes.put_bytes(b'h', MAX_HEADER_BYTES - bytes.len() - 1);
    scene.play(TOO_MANY, &Script::whole(bytes)).await;
}

/// Guards against heads that are collected before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn heads_far_over_the_limit_do_not_fill_the_memory() {
    let scene = Scene::start("long-heads", &["stock"]).await;
    let mut bytes = BytesMut::from(head("/orders/1").as_bytes());
    bytes.put_slice(b"X-Long: ");
    bytes.put_bytes(b'h', 32 * MAX_HEADER_BYTES);
    scene.play(MANY, &Script::whole(bytes)).await;
}

/// Guards against headers that take far more memory than they have bytes.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_heads_of_many_headers_for_a_slow_service_do_not_fill_the_memory() {
    let scene = Scene::start("many-headers", &["stock"]).await;
    let script = Script::repeated(head_of_many_headers(), PIPELINED);
    scene.play_slow(&[0], PIPELINES, &[script]).await;
}

/// Guards against the same at the node that requests are passed to.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_heads_of_many_headers_for_a_slow_service_beside_another_node_do_not_fill_the_memory()
 {
    let scene = Scene::start("forwarded-headers", &["carts", "carts", "stock"]).await;
    let script = Script::repeated(head_of_many_headers(), PIPELINED);
    scene.play_slow(&[0, 1], PIPELINES, &[script]).await;
}
