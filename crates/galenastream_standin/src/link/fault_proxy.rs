//! The proxy and its listener.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

use super::{HostSet, LinkFault, relay::Relay};

/// The time after an attempt to listen again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(5);

/// A TCP proxy between clients and one server. Dropping it closes its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    cut_hosts: watch::Sender<HostSet>,
    /// How often the open connections were silenced.
    silences: watch::Sender<u64>,
    refuses: watch::Sender<bool>,
    listener: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens at `address` and passes connections on to `server`.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> anyhow::Result<Self> {
        Self::start_with_replacement(address, server, None).await
    }

    /// Like [`start`](Self::start), and replaces one text by another one of the same length in what
    /// passes. It allows to proxy a server whose own messages name its address.
    pub async fn start_with_replacement(
        address: SocketAddr,
        server: SocketAddr,
        replacement: Option<[&'static str; 2]>,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen at {address}; choose a free port"))?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::None);
        let (cut_hosts, cuts) = watch::channel(HostSet::NONE);
        let (silences, silence_count) = watch::channel(0);
        let (refuses, mut refusals) = watch::channel(false);
        let listener = tokio::spawn(async move {
            let mut relays = JoinSet::new();
            let mut listener = Some(listener);
            loop {
                let Some(open) = &listener else {
                    let _ = refusals.wait_for(|it| !*it).await;
                    listener = TcpListener::bind(address).await.ok();
                    sleep(REOPEN_INTERVAL).await;
                    continue;
                };
                let accepted = tokio::select! {
                    accepted = open.accept() => Some(accepted),
                    _ = refusals.wait_for(|it| *it) => None,
                };
                match accepted {
                    Some(Ok((client, _))) => {
                        let mut silences = silence_count.clone();
                        silences.mark_unchanged();
                        let (faults, cuts) = (faults.clone(), cuts.clone());
                        let relay = Relay::new(server, faults, cuts, silences, replacement);
                        relays.spawn(relay.run(client));
                    }
                    Some(Err(error)) => log::warn!("the proxy cannot accept a connection: {error}"),
                    None => listener = None,
                }
                while relays.try_join_next().is_some() {}
            }
        });
        Ok(Self { address, fault, cut_hosts, silences, refuses, listener })
    }

    /// Returns the address where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_if_modified(|it| std::mem::replace(it, fault) != fault);
    }

    /// Sets the hosts from whose connections no byte passes, in either direction, until another set
    /// is set. The host of a connection is known from the address that its first status names; while
    /// hosts are cut off, nothing passes before that.
    pub fn set_cut_hosts(&self, hosts: HostSet) {
        self.cut_hosts.send_if_modified(|it| std::mem::replace(it, hosts) != hosts);
    }

    /// Makes the open connections go silent for good, without a reset: nothing passes, and what
    /// clients send is not acknowledged. New connections work.
    pub fn silence_open_connections(&self) {
        self.silences.send_modify(|it| *it += 1);
    }

    /// Sets whether new connections are refused. Open ones go on.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.send_if_modified(|it| std::mem::replace(it, refuses) != refuses);
    }

    /// Closes all connections and stops listening.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.listener.abort();
    }
}
