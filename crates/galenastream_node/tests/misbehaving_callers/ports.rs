//! The ports beside that of callers.

use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use galenastream_standin::{CallerConnection, LocalVm, heartbeat_request, wait_until};
use galenastream_wire::{FrameCodec, MAX_FRAME_BYTES, Part, PeerFrame, peer_frame::Body};
use tokio_util::codec::Encoder;

use super::{
    TIMEOUT, TOO_MANY, WORKS,
    crowd::{Crowd, Script},
    scene::Scene,
};

/// The ports of a node for other nodes, health checks, heartbeats and operators.
const PORTS: [u16; 4] = [8_002, 8_004, 8_005, 9_464];

/// Connections at each port, if the crowd is at all of them.
const EACH: usize = 600;

/// The longest heartbeat that a node takes, and a head that none takes.
const HEARTBEAT_BYTES: usize = 256 * 1024;
const LONG_HEAD_BYTES: usize = 300 * 1024;

/// Plays crowds at several ports, and checks that health checks, callers and heartbeats are answered beside
/// them.
async fn play(scene: Scene, ports: &[u16], members: usize, script: &Script) {
    let vm = &scene.deployment.vms[0];
    let start = |port: &u16| Crowd::start(SocketAddr::new(vm.ip, *port), members, script);
    let crowds: Vec<Crowd> = ports.iter().map(start).collect();
    for crowd in &crowds {
        crowd.settle().await;
    }
    scene.assert_serves().await;
    let vm = &scene.deployment.vms[0];
    wait_until("a health check", TIMEOUT, async || vm.health_status().await == Some(200))
        .await
        .expect(WORKS);
    let heartbeat = async || send_heartbeat(vm).await == Some(400);
    wait_until("a heartbeat", TIMEOUT, heartbeat).await.expect(WORKS);
    wait_until("the metrics", TIMEOUT, async || {
        vm.metrics().await.is_some_and(|it| it.status == 200)
    })
    .await
    .expect(WORKS);
    for crowd in crowds {
        crowd.close().await;
    }
    scene.close().await;
}

/// Sends a heartbeat on a connection of its own, which a node refuses as it says nothing, and returns the
/// status of the reply.
async fn send_heartbeat(vm: &LocalVm) -> Option<u16> {
    let mut control = CallerConnection::connect(vm.control_address()).await?;
    control.send(heartbeat_request("x", "{}").as_bytes()).await.ok()?;
    control.read().await.map(|it| it.status)
}

/// Guards against silent connections that keep other nodes out.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_at_the_port_of_other_nodes_leave_room_for_others() {
    let scene = Scene::start("peers", &["stock", "stock"]).await;
    play(scene, &PORTS[..1], TOO_MANY, &Script::whole(Bytes::new())).await;
}

/// Guards against silent connections that keep health checks, heartbeats and operators out.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_at_all_other_ports_leave_room_for_others() {
    let scene = Scene::start("ports", &["stock", "stock"]).await;
    play(scene, &PORTS, EACH, &Script::whole(Bytes::new())).await;
}

/// Guards against long heads that are read on any number of connections.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_all_other_ports_do_not_fill_the_memory() {
    let scene = Scene::start("port-heads", &["stock", "stock"]).await;
    let mut bytes = BytesMut::from("GET /metrics HTTP/1.1\r\nX-Long: ");
    bytes.put_bytes(b'h', LONG_HEAD_BYTES);
    play(scene, &PORTS[1..], EACH, &Script::whole(bytes)).await;
}

/// Guards against heartbeats that are held, and that keep the next ones out.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("heartbeats", &["stock", "stock"]).await;
    let mut request = heartbeat_request("x", &"b".repeat(HEARTBEAT_BYTES));
    request.pop();
    play(scene, &PORTS[2..3], EACH, &Script::whole(request)).await;
}

/// Guards against pages that count for nothing until operators have read them.
#[tokio::test(flavor = "multi_thread")]
async fn pages_that_are_not_read_do_not_fill_the_memory() {
    let scene = Scene::start("pages", &["stock", "stock"]).await;
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let script = Script::repeated(request, 200).with_small_window();
    play(scene, &PORTS[3..], EACH, &script).await;
}

/// Guards against frames of other nodes that count only once they are whole.
#[tokio::test(flavor = "multi_thread")]
async fn frames_that_stop_before_their_end_do_not_fill_the_memory() {
    let scene = Scene::start("frames", &["stock", "stock"]).await;
    let length = u32::try_from(MAX_FRAME_BYTES).expect(WORKS);
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    bytes.put_bytes(b'f', 256 * 1024);
    play(scene, &PORTS[..1], EACH, &Script::whole(bytes)).await;
}

/// Messages that a node may have begun to receive on a connection, as far as it takes them.
const MESSAGES: u64 = 300;

/// Guards against what a message takes beside its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_other_nodes_that_stop_after_short_parts_do_not_fill_the_memory() {
    let scene = Scene::start("parts", &["stock", "stock"]).await;
    let mut bytes = BytesMut::new();
    for correlation in 0..MESSAGES {
        for offset in [0, 1] {
            let part = Part { offset, bytes: Bytes::from_static(b"p"), message: Bytes::new() };
            let frame = PeerFrame { correlation, body: Some(Body::Part(part)) };
            FrameCodec::new().encode(frame, &mut bytes).expect(WORKS);
        }
    }
    play(scene, &PORTS[..1], EACH, &Script::whole(bytes)).await;
}
