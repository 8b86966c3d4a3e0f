//! TCP connections, with a limit on how long an unresponsive peer goes undetected.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Value of `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the kernel
/// closes the connection. Longer than a few retransmissions inside a region, shorter than the
/// deadlines of callers.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a connection may be idle before its first keep-alive probe, the interval of further ones,
/// and how many may stay unanswered. Together less than the 3 s after which a config has to be in
/// force although connections went silent. The kernel counts in whole seconds. Where `USER_TIMEOUT`
/// applies to probes, it replaces their number: the connection ends when a further probe is due after
/// it. One lost probe thus ends a sound connection, and its call has to be repeated.
const KEEP_ALIVE_TIME: Duration = Duration::from_millis(1_000);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const MAX_UNANSWERED_PROBES: u32 = 1;

/// The bytes that the kernel keeps of a caller that were not read; it takes up to twice as many.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// The bytes that the kernel takes for a caller before it has sent the ones before. What is under way to
/// the caller is not limited, so that this does not slow it down.
const MAX_UNSENT_BYTES: u32 = 4 * 1024;

/// Opens a TCP connection within a time limit.
pub async fn connect_tcp(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await.map_err(io::Error::from)??;
    tune_socket(&stream);
    Ok(stream)
}

/// Sets the options of all connections of a node: `TCP_NODELAY`, so that small writes are not
/// delayed, and `TCP_USER_TIMEOUT`, so that a connection to a peer that vanished without a reset
/// fails. An option that cannot be set is logged.
pub fn tune_socket(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "socket_option_failed", option = "nodelay", reason:% = error; "");
    }
    set_user_timeout(stream, USER_TIMEOUT);
}

/// Limits what the kernel keeps for each connection that `listener` accepts from now on: the process has to
/// bound the memory of connections to clients that it does not trust.
pub fn limit_queues(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!(event = "socket_option_failed", option = "receive_buffer", reason:% = error; "");
    }
    if let Err(error) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(event = "socket_option_failed", option = "notsent_lowat", reason:% = error; "");
    }
}

/// Sets how long a peer may leave sent bytes unread or unacknowledged.
pub fn set_user_timeout(stream: &TcpStream, user_timeout: Duration) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout)) {
        log::debug!(event = "socket_option_failed", option = "user_timeout", reason:% = error; "");
    }
}

/// Probes a connection while it is idle, so that one that waits for a peer that vanished fails too.
pub fn set_keep_alive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&probes) {
        log::debug!(event = "socket_option_failed", option = "keep_alive", reason:% = error; "");
    }
}

/// Makes the kernel drop what the peer has not read when the connection is closed.
pub fn discard_unsent(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(event = "socket_option_failed", option = "linger", reason:% = error; "");
    }
}
