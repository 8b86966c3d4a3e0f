//! TCP connections, with a limit on how long an unresponsive peer goes undetected.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{net::TcpStream, time::timeout};

/// Value of `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the kernel
/// closes the connection. Longer than a few retransmissions inside a region, shorter than the
/// deadlines of callers.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

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
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!(event = "socket_option_failed", option = "user_timeout", reason:% = error; "");
    }
}
