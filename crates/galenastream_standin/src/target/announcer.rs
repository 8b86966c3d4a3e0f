//! Announces a target to the node in its VM.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::ensure;
use http::Method;
use serde::Serialize;
use tokio::time::{MissedTickBehavior, interval};

use super::state::TargetState;
use crate::{Caller, CallerRequest};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ANNOUNCE_DEADLINE_MS: u64 = 400;

/// What a target says of itself. Repeating it is its sign of life.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    checks_grants: bool,
}

/// Announces a target to the node in its VM.
pub(crate) struct Announcer {
    state: Arc<TargetState>,
    address: SocketAddr,
    node: SocketAddr,
    caller: Caller,
}

impl std::fmt::Debug for Announcer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Announcer").field("node", &self.node).finish_non_exhaustive()
    }
}

impl Announcer {
    pub(crate) fn new(
        state: Arc<TargetState>,
        address: SocketAddr,
        node: SocketAddr,
    ) -> anyhow::Result<Self> {
        Ok(Self { state, address, node, caller: Caller::new()? })
    }

    /// Announces the target over and over.
    pub(crate) async fn run(&self) {
        let mut ticks = interval(ANNOUNCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.state.faults.thaw().await;
            if let Err(error) = self.announce().await {
                log::debug!("the node at {} takes no announcement: {error}", self.node);
            }
        }
    }

    async fn announce(&self) -> anyhow::Result<()> {
        let config = &self.state.config;
        let announcement = Announcement {
            service: &config.service,
            address: self.address,
            slots: config.slots,
            connections: config.connections,
            checks_grants: config.checks_grants,
        };
        self.post("/target/announce", serde_json::to_vec(&announcement)?).await
    }

    /// Tells the node that the target is leaving.
    pub(crate) async fn drain(&self) -> anyhow::Result<()> {
        self.post("/target/drain", Vec::new()).await
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> anyhow::Result<()> {
        let request = CallerRequest::new(Method::POST, path)
            .with_deadline_ms(ANNOUNCE_DEADLINE_MS)
            .with_body(body);
        let answer = self.caller.call(self.node, &request).await?;
        ensure!(answer.status.is_success(), "the node answered {}", answer.status);
        Ok(())
    }
}
