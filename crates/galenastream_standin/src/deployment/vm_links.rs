//! The links of a VM, each through a proxy that can inject faults.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;

use crate::{FaultProxy, HostSet};

/// The ports of the nodes and of the proxies in front of them. The last two have the same number of
/// digits, as the proxies replace one by the other in what nodes say of themselves.
const TARGET_PORT: u16 = 8_001;
const PEERS_PORT: u16 = 8_002;
const CALLERS_PORT: u16 = 8_003;
const CONTROL_PORT: u16 = 8_005;
const PROXIED_TARGET_PORT: u16 = 8_006;
const STORE_PROXY_PORT: u16 = 8_007;
const CONTROL_PROXY_PORT: u16 = 8_008;
const CALLERS_PROXY_PORT: u16 = 8_009;
const PEERS_PROXY_PORT: u16 = 8_010;

/// What replaces the ports of nodes in rows of the store and in messages between nodes, so that
/// nodes reach each other through the proxies.
pub(super) const PEER_PORT_REPLACEMENT: [&str; 2] = [":8002", ":8010"];

/// A link of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmLink {
    /// From callers to the node.
    Callers,
    /// From the node to the target beside it.
    Target,
    /// From the target to the node, for heartbeats.
    Heartbeats,
    /// From the node to the store.
    Store,
    /// From other nodes to the node.
    Peers,
}

/// The proxies of a VM.
#[derive(Debug)]
pub(super) struct VmLinks {
    callers: FaultProxy,
    target: FaultProxy,
    heartbeats: FaultProxy,
    store: FaultProxy,
    peers: FaultProxy,
}

/// The addresses that the processes of a VM use.
#[derive(Debug, Clone, Copy)]
pub(super) struct VmAddresses {
    /// Where the target listens.
    pub(super) target: SocketAddr,
    /// The address of the target in its heartbeats.
    pub(super) advertised_target: SocketAddr,
    /// Where the target sends its heartbeats.
    pub(super) control: SocketAddr,
    /// Where callers connect.
    pub(super) callers: SocketAddr,
    /// Where the node reaches the store.
    pub(super) store: SocketAddr,
}

impl VmAddresses {
    pub(super) fn new(ip: IpAddr, store: SocketAddr, has_proxies: bool) -> Self {
        let at = |direct, proxied| SocketAddr::new(ip, if has_proxies { proxied } else { direct });
        Self {
            target: at(TARGET_PORT, PROXIED_TARGET_PORT),
            advertised_target: SocketAddr::new(ip, TARGET_PORT),
            control: at(CONTROL_PORT, CONTROL_PROXY_PORT),
            callers: at(CALLERS_PORT, CALLERS_PROXY_PORT),
            store: if has_proxies { SocketAddr::new(ip, STORE_PROXY_PORT) } else { store },
        }
    }
}

impl VmLinks {
    pub(super) async fn start(ip: IpAddr, store: SocketAddr) -> anyhow::Result<Self> {
        let at = |port| SocketAddr::new(ip, port);
        let replacement = Some(PEER_PORT_REPLACEMENT);
        let peers = at(PEERS_PROXY_PORT);
        Ok(Self {
            callers: FaultProxy::start(at(CALLERS_PROXY_PORT), at(CALLERS_PORT)).await?,
            target: FaultProxy::start(at(TARGET_PORT), at(PROXIED_TARGET_PORT)).await?,
            heartbeats: FaultProxy::start(at(CONTROL_PROXY_PORT), at(CONTROL_PORT)).await?,
            store: FaultProxy::start(at(STORE_PROXY_PORT), store).await?,
            peers: FaultProxy::start_with_replacement(peers, at(PEERS_PORT), replacement).await?,
        })
    }

    /// Sets the hosts whose nodes are cut off from all others and from the store.
    pub(super) fn set_cut_hosts(&self, hosts: HostSet, own_host: u8) {
        let is_cut = hosts.contains(own_host);
        self.peers.set_cut_hosts(if is_cut { HostSet::ALL } else { hosts });
        self.store.set_cut_hosts(if is_cut { HostSet::ALL } else { HostSet::NONE });
    }

    /// Sets whether the target refuses new connections.
    pub(super) fn set_target_refuses(&self, refuses: bool) {
        self.target.set_refuses(refuses);
    }

    pub(super) fn proxy(&self, link: VmLink) -> &FaultProxy {
        match link {
            VmLink::Callers => &self.callers,
            VmLink::Target => &self.target,
            VmLink::Heartbeats => &self.heartbeats,
            VmLink::Store => &self.store,
            VmLink::Peers => &self.peers,
        }
    }
}
