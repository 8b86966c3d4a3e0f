//! Accepts connections of callers until the process stops.

use std::{io, sync::Arc, time::Duration};

use tokio::{net::TcpListener, time::sleep};
use volo::net::{MakeIncoming, conn::Conn, incoming::Incoming};

use crate::process::Node;

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of callers. Once the process takes no new work, connections are refused.
pub struct CallerListener {
    listener: Option<TcpListener>,
    node: Arc<Node>,
}

impl CallerListener {
    /// Accepts on a listener.
    pub fn new(listener: TcpListener, node: Arc<Node>) -> Self {
        Self { listener: Some(listener), node }
    }
}

impl std::fmt::Debug for CallerListener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerListener").field("listener", &self.listener).finish()
    }
}

impl MakeIncoming for CallerListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for CallerListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            return std::future::pending().await;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = self.node.shutdown.wait_for_finishing() => {
                self.listener = None;
                return Ok(None);
            }
        };
        match accepted {
            Ok((stream, _)) => {
                // Nagle's algorithm would hold small answers back; a failure only costs latency.
                let _ = stream.set_nodelay(true);
                Ok(Some(Conn::from(stream)))
            }
            Err(error) => {
                sleep(ACCEPT_PAUSE).await;
                Err(error)
            }
        }
    }
}
