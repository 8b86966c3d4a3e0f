//! HTTP/1.1 client connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    BodyBuffer, BodyTooLong, ConnectionCount, CountedConnection, ExchangeError, connect_tcp,
    head_limit::{HeadLimit, LimitedStream},
    set_keep_alive,
};

/// Maximum size of the head of a response, and of what is read ahead of a body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;

/// A response with its complete body.
#[derive(Debug)]
pub struct WholeResponse {
    /// Status and headers.
    pub parts: Parts,
    /// The complete body.
    pub body: Bytes,
}

/// A connection to an HTTP/1.1 server, for one exchange at a time.
///
/// Dropping an exchange before it ends closes the connection, which tells the server to stop.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    head_limit: Arc<HeadLimit>,
}

impl HttpConnection {
    /// Opens a connection within a time limit. Its task runs on the current Tokio runtime.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let stream = connect_tcp(address, limit).await.map_err(not_sent)?;
        Self::over(stream, address, None).await
    }

    /// Opens a connection like [`connect`](Self::connect) that is counted until it is closed by
    /// either side.
    pub async fn connect_counted(
        address: SocketAddr,
        limit: Duration,
        count: &ConnectionCount,
    ) -> Result<Self, ExchangeError> {
        let stream = connect_tcp(address, limit).await.map_err(not_sent)?;
        Self::over_counted(stream, address, count).await
    }

    /// Uses an open TCP connection, and counts it until it is closed by either side.
    pub async fn over_counted(
        stream: TcpStream,
        address: SocketAddr,
        count: &ConnectionCount,
    ) -> Result<Self, ExchangeError> {
        Self::over(stream, address, Some(count.count())).await
    }

    /// Opens a connection like [`connect`](Self::connect) for exchanges whose response may take long:
    /// it is probed while it waits.
    pub async fn connect_with_keep_alive(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Self, ExchangeError> {
        let stream = connect_tcp(address, limit).await.map_err(not_sent)?;
        set_keep_alive(&stream);
        Self::over(stream, address, None).await
    }

    async fn over(
        stream: TcpStream,
        address: SocketAddr,
        counted: Option<CountedConnection>,
    ) -> Result<Self, ExchangeError> {
        let head_limit = Arc::new(HeadLimit::default());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(LimitedStream::new(stream, head_limit.clone())))
            .await
            .map_err(not_sent)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", peer:% = address, reason:% = error; "");
            }
            drop(counted);
        });
        Ok(Self { sender, head_limit })
    }

    /// Whether the connection is open and can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the complete response, with its body in `buffer`. A response that is
    /// too long for it is an [`ExchangeError::TooLong`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        buffer: BodyBuffer,
    ) -> Result<WholeResponse, ExchangeError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent { reason: error.to_string() });
        }
        self.head_limit.begin();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.end();
                response
            }
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                let error = error.into_error();
                let reason = error.to_string();
                return Err(match not_sent {
                    true => ExchangeError::NotSent { reason },
                    false if error.is_parse_too_large() || self.head_limit.is_exceeded() => {
                        ExchangeError::TooLong { bytes: 0 }
                    }
                    false => ExchangeError::Unknown { reason },
                });
            }
        };
        read_whole(response, buffer).await
    }
}

async fn read_whole(
    response: Response<Incoming>,
    mut buffer: BodyBuffer,
) -> Result<WholeResponse, ExchangeError> {
    let (parts, mut body) = response.into_parts();
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    buffer.check_length(announced_bytes)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| ExchangeError::Unknown { reason: it.to_string() })?;
        if let Ok(part) = frame.into_data() {
            buffer.push(part)?;
        }
    }
    Ok(WholeResponse { parts, body: buffer.finish() })
}

impl From<BodyTooLong> for ExchangeError {
    fn from(error: BodyTooLong) -> Self {
        Self::TooLong { bytes: error.bytes }
    }
}

fn not_sent(error: impl std::fmt::Display) -> ExchangeError {
    ExchangeError::NotSent { reason: error.to_string() }
}
