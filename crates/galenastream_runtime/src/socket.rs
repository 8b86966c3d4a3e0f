//! Sockets whose peer may vanish without a reset.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{net::TcpStream, time::timeout};

/// How long written bytes may stay unacknowledged before the kernel gives the connection up.
/// Longer than a few retransmissions inside a region, shorter than the deadlines of callers.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Opens a TCP connection within a time limit.
pub async fn connect_tcp(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await.map_err(io::Error::from)??;
    tune_socket(&stream);
    Ok(stream)
}

/// Sets the options that every connection of a node has: no delay of small writes, and an end to
/// connections whose peer no longer acknowledges.
pub fn tune_socket(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "socket_option_failed", option = "nodelay", reason:% = error; "");
    }
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!(event = "socket_option_failed", option = "user_timeout", reason:% = error; "");
    }
}
