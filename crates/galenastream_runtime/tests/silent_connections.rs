//! Tests of connections that go silent without a reset.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use galenastream_runtime::{BodyBuffer, HttpConnection, set_keep_alive};
use galenastream_standin::FaultProxy;
use http::Request;
use http_body_util::Full;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const TIMEOUT: Duration = Duration::from_secs(10);

/// What operators were promised holds again 3 s after connections went silent. Until then the call has to
/// be repeated on another connection.
const NOTICED: Duration = Duration::from_millis(2_500);

/// Starts a server that reads one request and never answers.
async fn start_silent_server() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut buffer = [0; 1_024];
        while stream.read(&mut buffer).await.is_ok_and(|it| it > 0) {}
        let _ = stream.shutdown().await;
    });
    address
}

/// Guards against calls that wait for as long as their time-out on a connection that is dead.
#[tokio::test]
async fn a_silent_connection_is_noticed_while_a_response_is_awaited() {
    let proxy = FaultProxy::start(ANY_PORT, start_silent_server().await).await.expect("it starts");
    let mut connection = HttpConnection::connect_with_keep_alive(proxy.address(), TIMEOUT)
        .await
        .expect("the proxy listens");
    let request = Request::builder().uri("/").body(Full::new(Bytes::new())).expect("it is valid");
    let exchange = connection.exchange(request, BodyBuffer::new(1_024));
    let silence = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        proxy.silence_open_connections();
        Instant::now()
    };
    let (result, silent_at) = tokio::join!(timeout(TIMEOUT, exchange), silence);
    let noticed_after = silent_at.elapsed();
    assert!(result.is_ok_and(|it| it.is_err()), "the connection fails");
    assert!(noticed_after < NOTICED, "noticed after {noticed_after:?}");
}

/// Guards against calls that are sent on a connection that is dead already: probes do not run while sent
/// bytes are not acknowledged.
#[tokio::test]
async fn a_call_on_a_silent_connection_fails_soon() {
    let proxy = FaultProxy::start(ANY_PORT, start_silent_server().await).await.expect("it starts");
    let mut connection = HttpConnection::connect_with_keep_alive(proxy.address(), TIMEOUT)
        .await
        .expect("the proxy listens");
    tokio::time::sleep(Duration::from_millis(200)).await;
    proxy.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let request = Request::builder().uri("/").body(Full::new(Bytes::new())).expect("it is valid");
    let sent_at = Instant::now();
    let result = timeout(TIMEOUT, connection.exchange(request, BodyBuffer::new(1_024))).await;
    let noticed_after = sent_at.elapsed();
    assert!(result.is_ok_and(|it| it.is_err()), "the connection fails");
    assert!(noticed_after < NOTICED, "noticed after {noticed_after:?}");
}

/// Guards against probes whose number is left to the system, where nothing else ends a connection:
/// `TCP_USER_TIMEOUT` need not apply to probes.
#[tokio::test]
async fn the_probes_alone_end_a_silent_connection() {
    let stream = TcpStream::connect(start_silent_server().await).await.expect("it listens");
    set_keep_alive(&stream);
    let socket = SockRef::from(&stream);
    let idle = socket.tcp_keepalive_time().expect("an option of Linux");
    let interval = socket.tcp_keepalive_interval().expect("an option of Linux");
    let probes = socket.tcp_keepalive_retries().expect("an option of Linux");
    let noticed_after = idle + interval * probes;
    assert!(noticed_after < NOTICED, "{idle:?} and {probes} probes of {interval:?}");
}
