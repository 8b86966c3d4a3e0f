//! HTTP/1.1 client connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;

use crate::{ExchangeError, connect_tcp};

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
}

impl HttpConnection {
    /// Opens a connection within a time limit. Its task runs on the current Tokio runtime.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent { reason };
        let stream = connect_tcp(address, limit).await.map_err(|it| not_sent(it.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|it| not_sent(it.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", peer:% = address, reason:% = error; "");
            }
        });
        Ok(Self { sender })
    }

    /// Whether the connection is open and can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the complete response. A body longer than `max_body_bytes` is an
    /// [`ExchangeError::Unknown`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<WholeResponse, ExchangeError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent { reason: error.to_string() });
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                return Err(match not_sent {
                    true => ExchangeError::NotSent { reason },
                    false => ExchangeError::Unknown { reason },
                });
            }
        };
        read_whole(response, max_body_bytes).await
    }
}

async fn read_whole(
    response: Response<Incoming>,
    max_body_bytes: usize,
) -> Result<WholeResponse, ExchangeError> {
    let (parts, body) = response.into_parts();
    match Limited::new(body, max_body_bytes).collect().await {
        Ok(body) => Ok(WholeResponse { parts, body: body.to_bytes() }),
        Err(error) => Err(ExchangeError::Unknown { reason: error.to_string() }),
    }
}
