//! The connections to all other nodes.

use std::{
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use galenastream_ownership::{BootInstant, FastMap, VmId};
use galenastream_routing::{Breaker, BreakerLimits, Passage};
use galenastream_wire::{
    Answer, Forward, RouteQuery, RouteReply, SettingsQuery, SettingsReply, TicketQuery,
    TicketReply, peer_frame::Body,
};
use tokio::{runtime::Handle, time::timeout};

use super::{PeerError, PeerLink};
use crate::process::{boot_now, counters};

/// The most VMs that are remembered.
const MAX_PEERS: usize = 16_384;

/// How long no new connection is tried after one could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// The connections to all other nodes, opened when they are first needed and kept.
#[derive(Debug)]
pub struct PeerLinks {
    /// Serves the connections, also when the control thread asks.
    runtime: Handle,
    peers: RwLock<FastMap<VmId, Arc<Peer>>>,
}

#[derive(Debug)]
struct Peer {
    vm: VmId,
    link: tokio::sync::Mutex<LinkState>,
    breaker: Mutex<Breaker>,
}

#[derive(Debug, Default)]
struct LinkState {
    open: Option<Arc<PeerLink>>,
    failed: Option<(BootInstant, PeerError)>,
}

impl PeerLinks {
    /// Creates a table without connections.
    pub fn new(runtime: Handle) -> Self {
        Self { runtime, peers: RwLock::new(FastMap::default()) }
    }

    /// Sends a request to the owner of its key.
    pub async fn forward(
        &self,
        vm: VmId,
        forward: Forward,
        limit: Duration,
    ) -> Result<Answer, PeerError> {
        match self.ask(vm, Body::Forward(forward), limit).await? {
            Body::Answer(answer) => Ok(answer),
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Asks who owns a position.
    pub async fn route(
        &self,
        vm: VmId,
        query: RouteQuery,
        limit: Duration,
    ) -> Result<RouteReply, PeerError> {
        match self.ask(vm, Body::RouteQuery(query), limit).await? {
            Body::RouteReply(reply) => Ok(reply),
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Asks the owner of a key for a ticket.
    pub async fn ticket(
        &self,
        vm: VmId,
        query: TicketQuery,
        limit: Duration,
    ) -> Result<TicketReply, PeerError> {
        match self.ask(vm, Body::TicketQuery(query), limit).await? {
            Body::TicketReply(reply) => Ok(reply),
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Asks for a version of the settings.
    pub async fn settings(
        &self,
        vm: VmId,
        query: SettingsQuery,
        limit: Duration,
    ) -> Result<SettingsReply, PeerError> {
        match self.ask(vm, Body::SettingsQuery(query), limit).await? {
            Body::SettingsReply(reply) => Ok(reply),
            _ => Err(PeerError::Unexpected),
        }
    }

    async fn ask(&self, vm: VmId, body: Body, limit: Duration) -> Result<Body, PeerError> {
        let peer = self.peer(vm);
        peer.pass()?;
        let began_at = boot_now();
        let link = match timeout(limit, peer.link(&self.runtime)).await {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => {
                peer.record(&Err(error));
                return Err(error);
            }
            Err(_) => {
                peer.record(&Err(PeerError::Unreachable));
                return Err(PeerError::Unreachable);
            }
        };
        let left = limit.saturating_sub(boot_now().saturating_since(began_at));
        let result = link.ask(body, left).await;
        peer.record(&result);
        result
    }

    fn peer(&self, vm: VmId) -> Arc<Peer> {
        let known = self.peers.read().unwrap_or_else(PoisonError::into_inner).get(&vm).cloned();
        if let Some(peer) = known {
            return peer;
        }
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= MAX_PEERS {
            // Requests in progress keep their connections; VMs that are gone are forgotten.
            peers.clear();
        }
        peers.entry(vm).or_insert_with(|| Arc::new(Peer::new(vm))).clone()
    }
}

impl Peer {
    fn new(vm: VmId) -> Self {
        Self {
            vm,
            link: tokio::sync::Mutex::default(),
            breaker: Mutex::new(Breaker::new(BreakerLimits::default())),
        }
    }

    fn pass(&self) -> Result<(), PeerError> {
        let mut breaker = self.breaker.lock().unwrap_or_else(PoisonError::into_inner);
        match breaker.pass(boot_now()) {
            Passage::Free | Passage::Probe => Ok(()),
            Passage::Blocked { retry_after_ms } => Err(PeerError::Blocked { retry_after_ms }),
        }
    }

    fn record(&self, result: &Result<Body, PeerError>) {
        if let Err(error) = result {
            counters::peer_failed(*error);
        }
        let mut breaker = self.breaker.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(_) => breaker.record_success(),
            Err(PeerError::TimedOut | PeerError::Unreachable) => {
                breaker.record_failure(boot_now());
            }
            // A broken connection says nothing about the one that replaces it.
            Err(_) => {}
        }
    }

    /// The open connection. Of several requests that need a new one, the first opens it.
    async fn link(&self, runtime: &Handle) -> Result<Arc<PeerLink>, PeerError> {
        let mut link = self.link.lock().await;
        if let Some(open) = link.open.as_ref().filter(|it| !it.is_closed()) {
            return Ok(open.clone());
        }
        link.open = None;
        let now = boot_now();
        // The requests that waited for an attempt that failed share its result.
        if let Some((failed_at, error)) = link.failed
            && now.saturating_since(failed_at) < RECONNECT_PAUSE
        {
            return Err(error);
        }
        let connecting = runtime.spawn(PeerLink::connect(self.vm.address().into()));
        match connecting.await.unwrap_or(Err(PeerError::NotSent)) {
            Ok(opened) => {
                let opened = Arc::new(opened);
                *link = LinkState { open: Some(opened.clone()), failed: None };
                Ok(opened)
            }
            Err(error) => {
                link.failed = Some((boot_now(), error));
                Err(error)
            }
        }
    }
}
