//! Pool of HTTP connections to the target beside this node.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use galenastream_runtime::{
    BodyBudget, BodyBuffer, ConnectionCount, ExchangeError, HttpConnection, MAX_BODY_BYTES,
    WholeResponse, connect_tcp,
};
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use metrics::counter;
use tokio::time::Instant;

/// Timeout for opening a connection. The target is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which the target is assumed to keep an idle connection if it sends no `Keep-Alive`.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(4_000);

/// The longest keep-alive time that counts: a percentage of a time near the limit of its type
/// overflows.
const MAX_KEEP_ALIVE_S: u64 = 3_600;

/// Share of the target's keep-alive time for which this node reuses an idle connection, in percent:
/// a request must not be sent while the target closes the connection.
const REUSE_PERCENT: u32 = 60;

/// Pool of HTTP connections to the target beside this node, kept alive between requests.
#[derive(Debug)]
pub struct TargetConnections {
    address: SocketAddr,
    budget: Arc<BodyBudget>,
    count: ConnectionCount,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    usable_until: Instant,
}

/// Result of a request to the target.
#[derive(Debug)]
pub enum TargetResult {
    /// A complete response.
    Response(WholeResponse),
    /// The target cannot be reached, and no byte of the request was sent.
    Unreachable {
        /// The error of the connection.
        reason: String,
    },
    /// The target may have run the request.
    Unknown {
        /// The error of the connection.
        reason: String,
    },
    /// The target's response is longer than a node accepts, or than the budget for bodies allows
    /// now. The connection is closed.
    TooLong {
        /// How long the body is at least; 0 if the head is too long.
        bytes: usize,
    },
}

impl TargetConnections {
    /// Creates a pool without connections. The bodies of responses are held within `budget`.
    pub fn new(address: SocketAddr, budget: Arc<BodyBudget>) -> Self {
        Self { address, budget, count: ConnectionCount::new(), idle: Mutex::default() }
    }

    /// Counts the open connections with `count`.
    #[must_use]
    pub fn with_count(self, count: ConnectionCount) -> Self {
        Self { count, ..self }
    }

    /// Sends a request on an idle connection or on a new one. Dropping the future closes the
    /// connection, which tells the target to stop.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> TargetResult {
        while let Some(connection) = self.take_idle() {
            match self.exchange(connection, request.clone()).await {
                // The target closed the connection before the request was sent.
                Err(ExchangeError::NotSent { .. }) => continue,
                result => return into_result(result),
            }
        }
        counter!("galenastream_target_connections_total").increment(1);
        match HttpConnection::connect_counted(self.address, CONNECT_TIMEOUT, &self.count).await {
            Ok(connection) => into_result(self.exchange(connection, request).await),
            Err(error) => TargetResult::Unreachable { reason: error.to_string() },
        }
    }

    /// Whether the target refuses connections: nothing listens at its address. A connection that it
    /// accepts is kept for the next request.
    pub async fn is_refused(&self) -> bool {
        let stream = match connect_tcp(self.address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => return error.kind() == ErrorKind::ConnectionRefused,
        };
        counter!("galenastream_target_connections_total").increment(1);
        match HttpConnection::over_counted(stream, self.address, &self.count).await {
            Ok(connection) => {
                let usable_until = Instant::now() + DEFAULT_KEEP_ALIVE * REUSE_PERCENT / 100;
                self.lock().push(IdleConnection { connection, usable_until });
            }
            Err(error) => log::debug!(event = "target_not_probed", reason:% = error; ""),
        }
        false
    }

    /// Closes all idle connections. Called if the target has been replaced, or if a connection may
    /// still carry the response to another request.
    pub fn clear(&self) {
        self.lock().clear();
    }

    async fn exchange(
        &self,
        mut connection: HttpConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<WholeResponse, ExchangeError> {
        let buffer = BodyBuffer::new(MAX_BODY_BYTES).with_budget(&self.budget);
        let response = connection.exchange(request, buffer).await?;
        let is_kept = response.parts.headers.get(header::CONNECTION).is_none_or(|it| it != "close");
        if is_kept {
            let usable_until = Instant::now() + reuse_time(&response.parts.headers);
            self.lock().push(IdleConnection { connection, usable_until });
        }
        Ok(response)
    }

    /// Takes the connection that was used last, so that surplus connections expire and are closed.
    fn take_idle(&self) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|it| now < it.usable_until);
        while let Some(last) = idle.pop() {
            if last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn into_result(result: Result<WholeResponse, ExchangeError>) -> TargetResult {
    match result {
        Ok(response) => TargetResult::Response(response),
        Err(ExchangeError::NotSent { reason }) => TargetResult::Unreachable { reason },
        Err(ExchangeError::Unknown { reason }) => TargetResult::Unknown { reason },
        Err(ExchangeError::TooLong { bytes }) => TargetResult::TooLong { bytes },
    }
}

/// How long an idle connection may be reused, from `Keep-Alive: timeout=SECONDS`.
fn reuse_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = value.and_then(|text| {
        text.split(',').find_map(|it| it.trim().strip_prefix("timeout=")?.trim().parse().ok())
    });
    let keep_alive = seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds: u64| {
        Duration::from_secs(seconds.min(MAX_KEEP_ALIVE_S))
    });
    keep_alive * REUSE_PERCENT / 100
}
