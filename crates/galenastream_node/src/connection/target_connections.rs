//! Pool of HTTP connections to the target beside this node.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use galenastream_adapter::header_names;
use galenastream_runtime::{
    BodyBuffer, ConnectionCount, ExchangeError, HttpConnection, MAX_BODY_BYTES, MemoryBudget,
    WholeResponse, connect_tcp,
};
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use metrics::counter;
use tokio::time::Instant;

use super::answered_requests::AnsweredRequests;

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
    budget: Arc<MemoryBudget>,
    count: ConnectionCount,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    used: UsedConnection,
    usable_until: Instant,
}

/// A connection and what it has already answered.
#[derive(Debug)]
struct UsedConnection {
    connection: HttpConnection,
    answered: AnsweredRequests,
}

/// Result of a request to the target.
#[derive(Debug)]
pub enum TargetResult {
    /// A complete response.
    Response {
        /// The response.
        response: WholeResponse,
        /// Whether it is the first one on its connection, so that it cannot belong to an earlier
        /// request.
        is_first: bool,
    },
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
    pub fn new(address: SocketAddr, budget: Arc<MemoryBudget>) -> Self {
        Self { address, budget, count: ConnectionCount::new(), idle: Mutex::default() }
    }

    /// Counts the open connections with `count`.
    #[must_use]
    pub fn with_count(self, count: ConnectionCount) -> Self {
        Self { count, ..self }
    }

    /// Sends a request on an idle connection or on a new one. Dropping the future closes the
    /// connection, which tells the target to stop.
    ///
    /// A request that was refused is sent on another connection the next time.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> TargetResult {
        while let Some(used) = self.take_idle(request_id(&request)) {
            match self.exchange(used, request.clone()).await {
                // The target closed the connection before the request was sent.
                Err(ExchangeError::NotSent { .. }) => continue,
                result => return into_result(result),
            }
        }
        counter!("galenastream_target_connections_total").increment(1);
        match HttpConnection::connect_counted(self.address, CONNECT_TIMEOUT, &self.count).await {
            Ok(connection) => {
                into_result(self.exchange(UsedConnection::new(connection), request).await)
            }
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
                let used = UsedConnection::new(connection);
                self.lock().push(IdleConnection { used, usable_until });
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
        mut used: UsedConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(WholeResponse, bool), ExchangeError> {
        let buffer = BodyBuffer::new(MAX_BODY_BYTES).with_budget(&self.budget);
        let request_id = request.headers().get(header_names::REQUEST_ID).cloned();
        let response = used.connection.exchange(request, buffer).await?;
        let is_first = !used.answered.has_answered();
        let (status, headers) = (response.parts.status, &response.parts.headers);
        used.answered.record(request_id.as_ref().map_or(&[], |it| it.as_bytes()), status, headers);
        let is_kept = headers.get(header::CONNECTION).is_none_or(|it| it != "close");
        if is_kept && used.answered.is_reusable() {
            let usable_until = Instant::now() + reuse_time(headers);
            self.lock().push(IdleConnection { used, usable_until });
        }
        Ok((response, is_first))
    }

    /// Takes the connection that was used last, so that surplus connections expire and are closed. Passes
    /// over those on which the response to the request could be taken for a copy of an earlier one.
    fn take_idle(&self, request_id: &[u8]) -> Option<UsedConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|it| now < it.usable_until);
        for index in (0..idle.len()).rev() {
            if idle[index].used.answered.is_ambiguous(request_id) {
                continue;
            }
            let used = idle.remove(index).used;
            if used.connection.is_ready() {
                return Some(used);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UsedConnection {
    fn new(connection: HttpConnection) -> Self {
        Self { connection, answered: AnsweredRequests::default() }
    }
}

fn request_id(request: &Request<Full<Bytes>>) -> &[u8] {
    request.headers().get(header_names::REQUEST_ID).map_or(&[], |it| it.as_bytes())
}

fn into_result(result: Result<(WholeResponse, bool), ExchangeError>) -> TargetResult {
    match result {
        Ok((response, is_first)) => TargetResult::Response { response, is_first },
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
