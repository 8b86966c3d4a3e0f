//! A caller that writes and reads bytes, so that it sees all that a node sends.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = timeout(ANSWER_LIMIT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(Self { stream, unread: Vec::new() })
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the stand-ins and the node work");
    }

    pub async fn get(&mut self, path: &str, id: &str, key: Option<u16>) -> Option<Answer> {
        self.send(request("GET", path, id, key).as_bytes()).await;
        self.read().await
    }

    pub async fn post(&mut self, path: &str, id: &str) -> Option<Answer> {
        self.send(request("POST", path, id, None).as_bytes()).await;
        self.read().await
    }

    /// Reads the next answer; `None` if the connection ends before it is whole.
    pub async fn read(&mut self) -> Option<Answer> {
        timeout(ANSWER_LIMIT, self.read_unlimited()).await.ok()?
    }

    async fn read_unlimited(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.parse() {
                return Some(answer);
            }
            let mut buffer = [0; 4_096];
            match self.stream.read(&mut buffer).await {
                Ok(count @ 1..) => self.unread.extend_from_slice(&buffer[..count]),
                Ok(_) | Err(_) => return None,
            }
        }
    }

    fn parse(&mut self) -> Option<Answer> {
        let end = self.unread.windows(4).position(|it| it == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<(String, String)> = lines
            .filter_map(|it| it.split_once(": "))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|it| it.0.eq_ignore_ascii_case("content-length"));
        let length: usize = length.map_or(Some(0), |it| it.1.parse().ok())?;
        let body = self.unread.get(end + 4..end + 4 + length)?;
        let body = String::from_utf8_lossy(body).into_owned();
        self.unread.drain(..end + 4 + length);
        Some(Answer { status, headers, body })
    }
}

/// The bytes of a request that waits for a second and a half.
pub fn request(method: &str, path: &str, id: &str, key: Option<u16>) -> String {
    let key = key.map_or_else(String::new, |it| format!("X-Shard-Key: {it}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nX-Caller-Service: forged\r\n{key}Content-Length: 0\r\n\r\n"
    )
}
