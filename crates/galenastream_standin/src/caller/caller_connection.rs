//! A connection of a caller.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::CallerAnswer;

/// How long a caller waits for a connection or an answer; longer than any request may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl CallerConnection {
    /// Opens a connection. Returns `None` if it is refused or not accepted in time.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(Self { stream, unread: Vec::new() })
    }

    /// Sends bytes unchanged.
    pub async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.stream.write_all(bytes).await.context("cannot send on the connection of the caller")
    }

    /// Sends a GET request and reads its answer. Returns `None` if no complete answer arrives in
    /// time.
    pub async fn get(&mut self, path: &str, id: &str, key: Option<u16>) -> Option<CallerAnswer> {
        self.exchange(&request_bytes("GET", path, id, key)).await
    }

    /// Sends a POST request and reads its answer. Returns `None` if no complete answer arrives in
    /// time.
    pub async fn post(&mut self, path: &str, id: &str) -> Option<CallerAnswer> {
        self.exchange(&request_bytes("POST", path, id, None)).await
    }

    /// Sends a request and reads its answer. Returns `None` if no complete answer arrives in time.
    pub(super) async fn exchange(&mut self, request: &str) -> Option<CallerAnswer> {
        self.send(request.as_bytes()).await.ok()?;
        self.read().await
    }

    /// Reads the next answer. Returns `None` if it is incomplete when the connection ends or the
    /// timeout is over.
    pub async fn read(&mut self) -> Option<CallerAnswer> {
        timeout(ANSWER_TIMEOUT, self.read_without_timeout()).await.ok()?
    }

    async fn read_without_timeout(&mut self) -> Option<CallerAnswer> {
        loop {
            if let Some(answer) = CallerAnswer::parse(&mut self.unread) {
                return Some(answer);
            }
            let mut buffer = [0; 4_096];
            match self.stream.read(&mut buffer).await {
                Ok(count @ 1..) => self.unread.extend_from_slice(&buffer[..count]),
                Ok(_) | Err(_) => return None,
            }
        }
    }
}

/// Returns the bytes of a request without a body and with a deadline of 1.5 s. Its header
/// `X-Caller-Service` is forged; a node must replace it.
pub fn request_bytes(method: &str, path: &str, id: &str, key: Option<u16>) -> String {
    request_with_body(method, path, id, key, "")
}

/// Returns the bytes of a request like [`request_bytes`], with a body.
pub(super) fn request_with_body(
    method: &str,
    path: &str,
    id: &str,
    key: Option<u16>,
    body: &str,
) -> String {
    let key = key.map_or_else(String::new, |it| format!("X-Shard-Key: {it}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nX-Caller-Service: forged\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
