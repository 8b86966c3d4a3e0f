//! What a node makes of each way in which another node can answer or fail.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::{net::SocketAddrV4, time::Duration};

use futures::{SinkExt, StreamExt};
use galenastream_node::{PeerError, PeerLinks};
use galenastream_ownership::VmId;
use galenastream_wire::{Answer, Forward, PeerCodec, PeerFrame, RouteReply, peer_frame::Body};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::Handle,
    time::{Instant, timeout},
};
use tokio_util::codec::Framed;

const LIMIT: Duration = Duration::from_secs(5);
const SHORT_LIMIT: Duration = Duration::from_millis(100);

type Frames = Framed<TcpStream, PeerCodec>;

async fn listen() -> (TcpListener, VmId) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address: SocketAddrV4 = listener.local_addr().unwrap().to_string().parse().unwrap();
    (listener, VmId::from(address))
}

async fn accept(listener: &TcpListener) -> Frames {
    let (stream, _) = listener.accept().await.unwrap();
    Framed::new(stream, PeerCodec::new())
}

fn links() -> PeerLinks {
    PeerLinks::new(Handle::current())
}

fn forward(request_id: &str) -> Forward {
    Forward { request_id: request_id.to_owned(), ..Forward::default() }
}

fn answer(correlation: u64, status: u32) -> PeerFrame {
    PeerFrame { correlation, body: Some(Body::Answer(Answer { status, ..Answer::default() })) }
}

fn request_id(frame: &PeerFrame) -> &str {
    match &frame.body {
        Some(Body::Forward(forward)) => &forward.request_id,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn answers_out_of_order_reach_their_own_requests() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        let first = frames.next().await.unwrap().unwrap();
        let second = frames.next().await.unwrap().unwrap();
        for frame in [second, first] {
            let status = request_id(&frame).parse().unwrap();
            frames.send(answer(frame.correlation, status)).await.unwrap();
        }
    });
    let links = links();
    let (one, two) = tokio::join!(
        links.forward(vm, forward("201"), LIMIT),
        links.forward(vm, forward("202"), LIMIT)
    );
    assert_eq!((one.unwrap().status, two.unwrap().status), (201, 202));
    server.await.unwrap();
}

#[tokio::test]
async fn a_late_answer_is_dropped_and_the_request_was_cancelled() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        let abandoned = frames.next().await.unwrap().unwrap();
        let cancel = frames.next().await.unwrap().unwrap();
        assert_eq!(cancel.correlation, abandoned.correlation);
        assert!(matches!(cancel.body, Some(Body::Cancel(_))), "{cancel:?}");
        frames.send(answer(abandoned.correlation, 500)).await.unwrap();
        let next = frames.next().await.unwrap().unwrap();
        assert_ne!(next.correlation, abandoned.correlation);
        frames.send(answer(next.correlation, 200)).await.unwrap();
    });
    let links = links();
    let late = links.forward(vm, forward("abandoned"), SHORT_LIMIT).await;
    assert_eq!(late.unwrap_err(), PeerError::TimedOut);
    let next = links.forward(vm, forward("next"), LIMIT).await;
    assert_eq!(next.unwrap().status, 200);
    server.await.unwrap();
}

#[tokio::test]
async fn an_abandoned_request_is_cancelled() {
    let (listener, vm) = listen().await;
    let links = std::sync::Arc::new(links());
    let asking = tokio::spawn({
        let links = links.clone();
        async move { links.forward(vm, forward("abandoned"), LIMIT).await }
    });
    let mut frames = accept(&listener).await;
    let request = frames.next().await.unwrap().unwrap();
    asking.abort();
    let cancel = frames.next().await.unwrap().unwrap();
    assert_eq!(cancel.correlation, request.correlation);
    assert!(matches!(cancel.body, Some(Body::Cancel(_))), "{cancel:?}");
}

#[tokio::test]
async fn a_connection_that_breaks_after_sending_proves_nothing() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        frames.next().await.unwrap().unwrap();
    });
    let result = links().forward(vm, forward("lost"), LIMIT).await;
    assert_eq!(result.unwrap_err(), PeerError::Lost);
    server.await.unwrap();
}

#[tokio::test]
async fn half_an_answer_is_none() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        frames.next().await.unwrap().unwrap();
        frames.get_mut().write_all(&[0, 0, 0, 50, 8, 1]).await.unwrap();
    });
    let result = links().forward(vm, forward("half"), LIMIT).await;
    assert_eq!(result.unwrap_err(), PeerError::Lost);
    server.await.unwrap();
}

#[tokio::test]
async fn a_node_that_refuses_connections_was_not_sent_anything() {
    let (listener, vm) = listen().await;
    drop(listener);
    let result = links().forward(vm, forward("refused"), LIMIT).await;
    assert_eq!(result.unwrap_err(), PeerError::NotSent);
}

#[tokio::test]
async fn an_answer_of_another_kind_is_refused() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        let request = frames.next().await.unwrap().unwrap();
        let body = Some(Body::RouteReply(RouteReply::default()));
        let frame = PeerFrame { correlation: request.correlation, body };
        frames.send(frame).await.unwrap();
    });
    let result = links().forward(vm, forward("other kind"), LIMIT).await;
    assert_eq!(result.unwrap_err(), PeerError::Unexpected);
    server.await.unwrap();
}

#[tokio::test]
async fn a_new_connection_replaces_a_broken_one() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        for _ in 0..2 {
            let mut frames = accept(&listener).await;
            let request = frames.next().await.unwrap().unwrap();
            frames.send(answer(request.correlation, 200)).await.unwrap();
            // A client that is still there sees the end of the connection.
            frames.close().await.unwrap();
        }
    });
    let links = links();
    assert_eq!(links.forward(vm, forward("first"), LIMIT).await.unwrap().status, 200);
    let mut result = Err(PeerError::Lost);
    // The end of the first connection may be seen only after a request was sent on it.
    for _ in 0..2 {
        result = links.forward(vm, forward("second"), LIMIT).await;
        if result.is_ok() {
            break;
        }
    }
    assert_eq!(result.unwrap().status, 200);
    server.await.unwrap();
}

#[tokio::test]
async fn a_node_that_never_replies_is_left_alone_for_a_while() {
    let (listener, vm) = listen().await;
    let server = tokio::spawn(async move {
        let mut frames = accept(&listener).await;
        while let Some(Ok(_)) = frames.next().await {}
    });
    let links = links();
    let mut timeouts = 0;
    loop {
        match links.forward(vm, forward("silent"), Duration::from_millis(5)).await {
            Err(PeerError::TimedOut) => timeouts += 1,
            Err(PeerError::Blocked { retry_after_ms }) => {
                assert!(retry_after_ms > 0);
                break;
            }
            other => panic!("{other:?}"),
        }
        assert!(timeouts < 100, "the breaker never opened");
    }
    server.abort();
}

/// A node behind a cut network: connections to it neither open nor fail.
#[tokio::test]
async fn requests_to_a_node_behind_a_cut_do_not_wait_for_each_other() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address: SocketAddrV4 = listener.local_addr().unwrap().to_string().parse().unwrap();
    // The queue of connections that nobody accepts is full after a few.
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(SHORT_LIMIT, TcpStream::connect(address)).await {
        waiting.push(stream.unwrap());
    }
    let links = links();
    let began_at = Instant::now();
    let asking = (0..20).map(|_| links.forward(VmId::from(address), forward("cut"), LIMIT));
    for result in futures::future::join_all(asking).await {
        assert_eq!(result.unwrap_err(), PeerError::Unreachable);
    }
    assert!(began_at.elapsed() < Duration::from_secs(2), "{:?}", began_at.elapsed());
}
