//! Bodies in chunks.

use bytes::{BufMut, BytesMut};

use super::{
    MANY, MAX_BODY_BYTES, MAX_HEADER_BYTES, SHORT_BODY_BYTES,
    crowd::Script,
    scene::{Scene, chunked, head},
};

/// Connections whose long bodies exceed the memory of a node.
const MANY_LONG: usize = 60;

/// Very small chunks on each connection.
const TINY_CHUNKS: usize = 3_000;

/// How much is sent of a body without end.
const SENT_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Guards against chunks of which the first part counts for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("chunks", &["stock"]).await;
    let script = Script::whole(chunked("/orders/1", 1_024, SHORT_BODY_BYTES / 1_024));
    scene.play(MANY, &script).await;
}

/// Guards against what each chunk takes beside its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_very_small_chunks_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("tiny-chunks", &["stock"]).await;
    let script = Script::whole(chunked("/orders/1", 1, TINY_CHUNKS));
    scene.play(MANY, &script).await;
}

/// Guards against chunks that are held in a buffer beside the one that counts.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("large-chunks", &["stock"]).await;
    let mut bytes = BytesMut::from(&chunked("/orders/1", MAX_BODY_BYTES, 1)[..]);
    bytes.truncate(bytes.len() - 3);
    scene.play(MANY_LONG, &Script::whole(bytes)).await;
}

/// Guards against chunked bodies that are collected before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_that_go_on_far_over_the_limit_do_not_fill_the_memory() {
    let scene = Scene::start("endless-chunks", &["stock"]).await;
    let bytes = chunked("/orders/1", 64 * 1_024, SENT_BYTES / (64 * 1_024));
    scene.play(MANY_LONG, &Script::in_pieces(bytes, 256 * 1_024)).await;
}

/// Guards against lines between chunks that count for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_extensions_and_trailers_without_end_do_not_fill_the_memory() {
    let scene = Scene::start("extensions", &["stock"]).await;
    let mut bytes = BytesMut::from(head("/orders/1").as_bytes());
    bytes.put_slice(b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ");
    bytes.put_bytes(b't', MAX_HEADER_BYTES - 20);
    scene.play(MANY, &Script::whole(bytes)).await;
}
