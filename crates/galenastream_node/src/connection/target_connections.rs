//! The HTTP connections to the target beside this node.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use galenastream_runtime::{ExchangeError, HttpConnection, WholeResponse};
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use metrics::counter;
use tokio::time::Instant;

/// How long opening a connection may take; the target is on the same VM.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The longest response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// How long a connection is kept idle if the target does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_millis(4_000);

/// Share of the time for which the target keeps an idle connection that this node uses it, in
/// hundredths: a request must not meet the target's close.
const IDLE_PERCENT: u32 = 60;

/// The HTTP connections to the target beside this node, kept between requests.
#[derive(Debug)]
pub struct TargetConnections {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    usable_until: Instant,
}

/// What came of a request to the target.
#[derive(Debug)]
pub enum TargetResult {
    /// A whole response.
    Response(WholeResponse),
    /// The target cannot be reached; it has seen no byte of the request.
    Unreachable {
        /// Why.
        reason: String,
    },
    /// The target may have run the request.
    Unknown {
        /// Why.
        reason: String,
    },
}

impl TargetConnections {
    /// Creates a set without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    /// Sends a request. Dropping the future closes the connection, which tells the target to stop.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> TargetResult {
        while let Some(connection) = self.take_idle() {
            match self.exchange(connection, request.clone()).await {
                // It was closed before the request was written to it.
                Err(ExchangeError::NotSent { .. }) => continue,
                result => return into_result(result),
            }
        }
        counter!("galenastream_target_connections_total").increment(1);
        match HttpConnection::connect(self.address, CONNECT_LIMIT).await {
            Ok(connection) => into_result(self.exchange(connection, request).await),
            Err(error) => TargetResult::Unreachable { reason: error.to_string() },
        }
    }

    /// Closes all idle connections, for a target that has ended.
    pub fn clear(&self) {
        self.lock().clear();
    }

    async fn exchange(
        &self,
        mut connection: HttpConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<WholeResponse, ExchangeError> {
        let response = connection.exchange(request, MAX_RESPONSE_BYTES).await?;
        let is_kept = response.parts.headers.get(header::CONNECTION).is_none_or(|it| it != "close");
        if is_kept {
            let usable_until = Instant::now() + idle_time(&response.parts.headers);
            self.lock().push(IdleConnection { connection, usable_until });
        }
        Ok(response)
    }

    /// Takes the connection that was used last, so that surplus ones age and are closed.
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
    }
}

/// How long a connection may be kept, from `Keep-Alive: timeout=SECONDS`.
fn idle_time(headers: &HeaderMap) -> Duration {
    let said = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = said.and_then(|text| {
        text.split(',').find_map(|it| it.trim().strip_prefix("timeout=")?.trim().parse().ok())
    });
    let kept = seconds.map_or(DEFAULT_IDLE, Duration::from_secs);
    kept * IDLE_PERCENT / 100
}
