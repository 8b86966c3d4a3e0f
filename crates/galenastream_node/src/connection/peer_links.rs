//! The connections to all other nodes.

use std::{
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use galenastream_ownership::{FastMap, VmId};
use galenastream_routing::{Breaker, BreakerLimits, Passage};
use galenastream_wire::{
    Answer, Forward, RouteQuery, RouteReply, SettingsQuery, SettingsReply, TicketQuery,
    TicketReply, peer_frame::Body,
};
use tokio::runtime::Handle;

use super::{PeerError, PeerLink};
use crate::process::boot_now;

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
    link: tokio::sync::Mutex<Option<Arc<PeerLink>>>,
    breaker: Mutex<Breaker>,
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
        let link = match peer.link(&self.runtime).await {
            Ok(link) => link,
            Err(error) => {
                self.forget_unreachable(&peer).await;
                return Err(error);
            }
        };
        let result = link.ask(body, limit).await;
        peer.record(&result);
        result
    }

    fn peer(&self, vm: VmId) -> Arc<Peer> {
        let known = self.peers.read().unwrap_or_else(PoisonError::into_inner).get(&vm).cloned();
        if let Some(peer) = known {
            return peer;
        }
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.entry(vm).or_insert_with(|| Arc::new(Peer::new(vm))).clone()
    }

    /// Keeps the table from growing with VMs that are gone.
    async fn forget_unreachable(&self, peer: &Arc<Peer>) {
        let has_link = peer.link.lock().await.is_some();
        if has_link {
            return;
        }
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        if peers.get(&peer.vm).is_some_and(|it| Arc::ptr_eq(it, peer)) {
            peers.remove(&peer.vm);
        }
    }
}

impl Peer {
    fn new(vm: VmId) -> Self {
        Self {
            vm,
            link: tokio::sync::Mutex::new(None),
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
        let mut breaker = self.breaker.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(_) => breaker.record_success(),
            Err(PeerError::TimedOut) => breaker.record_failure(boot_now()),
            // A broken connection says nothing about the one that replaces it.
            Err(_) => {}
        }
    }

    /// The open connection. Of several requests that need a new one, the first opens it.
    async fn link(&self, runtime: &Handle) -> Result<Arc<PeerLink>, PeerError> {
        let mut link = self.link.lock().await;
        if let Some(open) = link.as_ref().filter(|it| !it.is_closed()) {
            return Ok(open.clone());
        }
        *link = None;
        let vm = self.vm;
        let connecting = runtime.spawn(PeerLink::connect(vm));
        let opened = Arc::new(connecting.await.map_err(|_| PeerError::NotSent)??);
        *link = Some(opened.clone());
        Ok(opened)
    }
}
