//! Several forms at once, at several nodes.

use bytes::Bytes;

use super::{
    SHORT_BODY_BYTES,
    crowd::Script,
    scene::{Scene, chunked, head, request},
};

/// Connections of each form at each node.
const EACH: usize = 500;

/// Guards against budgets that hold one by one and not together.
#[tokio::test(flavor = "multi_thread")]
async fn all_forms_at_once_do_not_fill_the_memory_of_two_nodes() {
    let scene = Scene::start("mixture", &["stock", "stock"]).await;
    let scripts = [
        Script::whole(request("/orders/1", SHORT_BODY_BYTES + 1, SHORT_BODY_BYTES)),
        Script::whole(request("/orders/1", SHORT_BODY_BYTES, SHORT_BODY_BYTES)),
        Script::whole(chunked("/orders/1", 1_024, SHORT_BODY_BYTES / 1_024)),
        Script::whole(head("/orders/1")),
        Script::whole(Bytes::new()),
    ];
    scene.play_slow(&[0, 1], EACH, &scripts.map(Script::coming_back)).await;
}
