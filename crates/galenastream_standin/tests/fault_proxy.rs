//! The proxy passes bytes on, and injects each kind of fault.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use galenastream_standin::{FaultProxy, HostSet, LinkFault};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const SHORT: Duration = Duration::from_millis(200);

/// Starts a server that sends back what it reads, and a proxy in front of it.
async fn start(replacement: Option<[&'static str; 2]>) -> FaultProxy {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let server = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.into_split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let proxy = FaultProxy::start_with_replacement(ANY_PORT, server, replacement).await;
    proxy.expect("a port is free")
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.expect("the proxy listens")
}

/// Reads once. Returns `None` if nothing arrives within a short time.
async fn read(stream: &mut TcpStream) -> Option<std::io::Result<String>> {
    let mut buffer = [0; 1_024];
    let count = timeout(SHORT, stream.read(&mut buffer)).await.ok()?;
    Some(count.map(|it| String::from_utf8_lossy(&buffer[..it]).into_owned()))
}

async fn echo(stream: &mut TcpStream, text: &str) -> Option<String> {
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
    read(stream).await?.ok()
}

#[tokio::test]
async fn bytes_pass_and_a_text_is_replaced() {
    let proxy = start(Some([":1", ":2"])).await;
    let mut stream = connect(&proxy).await;
    assert_eq!(echo(&mut stream, "a:1 b:1").await.as_deref(), Some("a:2 b:2"));
    proxy.close();
}

#[tokio::test]
async fn bytes_are_delayed() {
    let proxy = start(None).await;
    let mut stream = connect(&proxy).await;
    proxy.set_fault(LinkFault::Delayed(Duration::from_millis(50)));
    let began_at = Instant::now();
    assert_eq!(echo(&mut stream, "a").await.as_deref(), Some("a"));
    assert!(began_at.elapsed() >= Duration::from_millis(100), "{:?}", began_at.elapsed());
}

#[tokio::test]
async fn bytes_of_a_cut_link_arrive_after_the_fault() {
    for fault in [LinkFault::CutToServer, LinkFault::CutToClient, LinkFault::Silent] {
        let proxy = start(None).await;
        let mut stream = connect(&proxy).await;
        assert_eq!(echo(&mut stream, "a").await.as_deref(), Some("a"));
        proxy.set_fault(fault);
        assert_eq!(echo(&mut stream, "b").await, None, "{fault:?}");
        proxy.set_fault(LinkFault::None);
        assert_eq!(read(&mut stream).await.unwrap().unwrap(), "b", "{fault:?}");
    }
}

#[tokio::test]
async fn open_and_new_connections_are_reset() {
    let proxy = start(None).await;
    let mut open = connect(&proxy).await;
    assert_eq!(echo(&mut open, "a").await.as_deref(), Some("a"));
    proxy.set_fault(LinkFault::Reset);
    assert!(read(&mut open).await.unwrap().is_err());
    let mut new = connect(&proxy).await;
    assert!(read(&mut new).await.unwrap().is_err());
    proxy.set_fault(LinkFault::None);
    assert_eq!(echo(&mut connect(&proxy).await, "b").await.as_deref(), Some("b"));
}

/// Guards against a proxy that acknowledges what arrives on silent connections: probes would find them
/// alive.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    /// The kernel of the client gives up after this time without an acknowledgement.
    const UNACKNOWLEDGED: Duration = Duration::from_millis(500);
    let proxy = start(None).await;
    let mut open = connect(&proxy).await;
    assert_eq!(echo(&mut open, "a").await.as_deref(), Some("a"));
    proxy.silence_open_connections();
    sleep(SHORT).await;
    let mut new = connect(&proxy).await;
    assert_eq!(echo(&mut new, "b").await.as_deref(), Some("b"));
    SockRef::from(&open).set_tcp_user_timeout(Some(UNACKNOWLEDGED)).expect("an option of Linux");
    assert_eq!(echo(&mut open, "c").await, None);
    let error = timeout(4 * UNACKNOWLEDGED, open.read_u8()).await.expect("the kernel gives up");
    assert_eq!(error.expect_err("no answer").kind(), std::io::ErrorKind::TimedOut);
    assert_eq!(echo(&mut new, "d").await.as_deref(), Some("d"));
}

#[tokio::test]
async fn only_connections_of_cut_hosts_are_held_back() {
    let proxy = start(Some([":1", ":2"])).await;
    let (mut cut, mut other) = (connect(&proxy).await, connect(&proxy).await);
    assert_eq!(echo(&mut cut, "10.0.0.11:1").await.as_deref(), Some("10.0.0.11:2"));
    assert_eq!(echo(&mut other, "10.0.0.12:1").await.as_deref(), Some("10.0.0.12:2"));
    proxy.set_cut_hosts(HostSet::NONE.with(11));
    assert_eq!(echo(&mut cut, "a").await, None);
    assert_eq!(echo(&mut other, "a").await.as_deref(), Some("a"));
    // The host of a new connection is not known before it names its address.
    let mut new = connect(&proxy).await;
    assert_eq!(echo(&mut new, "b").await, None);
    assert_eq!(echo(&mut new, "10.0.0.13:1").await.as_deref(), Some("b10.0.0.13:2"));
    proxy.set_cut_hosts(HostSet::ALL);
    assert_eq!(echo(&mut other, "c").await, None);
    proxy.set_cut_hosts(HostSet::NONE);
    assert_eq!(read(&mut cut).await.unwrap().unwrap(), "a");
    assert_eq!(read(&mut other).await.unwrap().unwrap(), "c");
}

#[tokio::test]
async fn a_connection_that_was_cut_for_long_is_reset() {
    let proxy = start(Some([":1", ":2"])).await;
    let mut stream = connect(&proxy).await;
    assert!(echo(&mut stream, "10.0.0.11:1").await.is_some());
    proxy.set_cut_hosts(HostSet::NONE.with(11));
    assert_eq!(echo(&mut stream, "a").await, None);
    sleep(Duration::from_secs(5)).await;
    proxy.set_cut_hosts(HostSet::NONE);
    assert!(read(&mut stream).await.unwrap().is_err());
}

#[tokio::test]
async fn new_connections_are_refused_while_open_ones_go_on() {
    let proxy = start(None).await;
    let mut open = connect(&proxy).await;
    assert_eq!(echo(&mut open, "a").await.as_deref(), Some("a"));
    proxy.set_refuses(true);
    sleep(SHORT).await;
    let refused = TcpStream::connect(proxy.address()).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    assert_eq!(echo(&mut open, "b").await.as_deref(), Some("b"));
    proxy.set_refuses(false);
    sleep(SHORT).await;
    assert_eq!(echo(&mut connect(&proxy).await, "c").await.as_deref(), Some("c"));
}

#[tokio::test]
async fn requests_are_answered_without_an_end() {
    for (fault, second_line) in [(LinkFault::EndlessHead, "X-Filler"), (LinkFault::EndlessBody, "")]
    {
        let proxy = start(None).await;
        let mut stream = connect(&proxy).await;
        proxy.set_fault(fault);
        stream.write_all(b"GET /a HTTP/1.1\r\nx-request-id: r-1\r\n\r\n").await.unwrap();
        let mut bytes = vec![0; 1_000_000];
        stream.read_exact(&mut bytes).await.unwrap();
        let text = String::from_utf8(bytes).unwrap();
        let mut lines = text.split("\r\n");
        assert_eq!(lines.next(), Some("HTTP/1.1 200 OK"));
        assert_eq!(lines.next(), Some("X-Request-Id: r-1"));
        assert!(lines.next().unwrap().starts_with(second_line), "{fault:?}");
    }
}
