//! A server that answers with any bytes.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// The end of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A server that answers the first request of each connection with the same bytes, whatever they
/// are, and closes the connection then.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl RawServer {
    /// Listens at a free port of loopback. Each piece is written on its own.
    pub async fn start(pieces: Vec<Vec<u8>>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, pieces.clone()));
            }
        });
        Ok(Self { address, accepting })
    }

    /// Returns the address where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening.
    pub fn close(self) {
        self.accepting.abort();
    }
}

async fn answer(mut stream: TcpStream, pieces: Vec<Vec<u8>>) {
    let mut request = Vec::new();
    while !request.windows(HEAD_END.len()).any(|it| it == HEAD_END) {
        if !matches!(stream.read_buf(&mut request).await, Ok(1..)) {
            return;
        }
    }
    for piece in pieces {
        // The client may close the connection at any byte.
        if stream.write_all(&piece).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    // Reads until the client closes, since a close with unread bytes resets the connection.
    if stream.shutdown().await.is_ok() {
        while matches!(stream.read_buf(&mut request).await, Ok(1..)) {}
    }
}
