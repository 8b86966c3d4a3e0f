//! Connections to other nodes, and the exchange of statuses with them.

use std::{
    future::{Future, pending},
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::NodeKey;
use galenastream_runtime::{FrameLink, MemoryBudget, PeerError, boot_now};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{NodeStatus, PeerFrame, StatusSeen, SyncQuery, peer_frame::Body};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::process::{ControlEvent, Directory, TrafficState};

/// Interval at which a node sends its status to all others, even if nothing has changed.
const STATUS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which the load of keys is sent to the planner. Other nodes do not need it.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of the reply to a status. When it expires, the connection takes no more requests.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout of the reply to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Backoff after a connection could not be opened. Meanwhile, requests to the node fail at once.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

type Link = FrameLink<PeerFrame>;

/// Connections to other nodes, one for each, opened on demand.
#[derive(Debug)]
pub struct PeerLinks {
    budget: Arc<MemoryBudget>,
    links: Mutex<FastMap<NodeKey, Arc<PeerLink>>>,
}

#[derive(Debug)]
struct PeerLink {
    link: tokio::sync::Mutex<Option<Arc<OpenLink>>>,
    /// When opening the connection failed last, on the boot clock; 0 if it never did.
    failed_at_ns: AtomicU64,
}

/// A connection to a node. It stays open until the last request on it has ended.
#[derive(Debug)]
struct OpenLink {
    link: Link,
    /// Cancelled when the node does not react in time, so that no further request uses the
    /// connection.
    retired: CancellationToken,
}

impl PeerLinks {
    /// Creates an empty set of connections, which hold long replies within `budget`.
    pub fn new(budget: Arc<MemoryBudget>) -> Self {
        Self { budget, links: Mutex::default() }
    }

    /// Sends a message to a node and waits for the reply. Dropping the future cancels the request.
    ///
    /// If the node turns out not to react, the request is given up with [`PeerError::Lost`] if
    /// `may_give_up` returns true at that moment. Otherwise it goes on: the node may only be slow. When
    /// `withdrawal` completes, the node is told that the request need not begin.
    pub async fn call(
        &self,
        node: NodeKey,
        address: SocketAddr,
        body: Body,
        reply_timeout: Duration,
        may_give_up: impl Fn() -> bool,
        withdrawal: impl Future<Output = ()>,
    ) -> Result<Body, PeerError> {
        let open = self.link(node, address).await?;
        let mut reply = pin!(open.link.call_until(body, reply_timeout, withdrawal));
        tokio::select! {
            result = &mut reply => return result,
            () = open.retired.cancelled() => {}
        }
        if may_give_up() {
            return Err(PeerError::Lost);
        }
        reply.await
    }

    /// Sends a status to a node, and returns the acknowledgement and when the status was sent. If
    /// it is not acknowledged in time, later requests use another connection: this one may be dead.
    async fn send_status(
        &self,
        node: NodeKey,
        address: SocketAddr,
        status: NodeStatus,
    ) -> Option<(StatusSeen, BootInstant)> {
        let open = self.link(node, address).await.ok()?;
        let asked_at = boot_now();
        let result = open.link.call(Body::Status(status), STATUS_TIMEOUT).await;
        if let Ok(Body::StatusSeen(seen)) = result {
            return Some((seen, asked_at));
        }
        if result != Err(PeerError::TimedOut) || open.retired.is_cancelled() {
            return None;
        }
        log::info!(event = "peer_silent", peer:% = address; "");
        open.retired.cancel();
        let entry = self.entry(node);
        let mut current = entry.link.lock().await;
        current.take_if(|it| Arc::ptr_eq(it, &open));
        None
    }

    async fn link(&self, node: NodeKey, address: SocketAddr) -> Result<Arc<OpenLink>, PeerError> {
        let entry = self.entry(node);
        let mut current = entry.link.lock().await;
        if let Some(link) = current.as_ref().filter(|it| !it.link.is_closed()) {
            return Ok(link.clone());
        }
        let failed_at = BootInstant::new(entry.failed_at_ns.load(Ordering::Relaxed));
        if boot_now().saturating_since(failed_at) < RECONNECT_BACKOFF {
            return Err(PeerError::NotSent);
        }
        match Link::connect(address, self.budget.clone()).await {
            Ok(link) => {
                let link = Arc::new(OpenLink { link, retired: CancellationToken::new() });
                *current = Some(link.clone());
                Ok(link)
            }
            Err(error) => {
                entry.failed_at_ns.store(boot_now().as_ns(), Ordering::Relaxed);
                Err(error)
            }
        }
    }

    fn entry(&self, node: NodeKey) -> Arc<PeerLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = links.entry(node).or_insert_with(|| {
            let link = tokio::sync::Mutex::new(None);
            Arc::new(PeerLink { link, failed_at_ns: AtomicU64::new(0) })
        });
        entry.clone()
    }
}

/// Sends the status of this node to the others, and queries the nodes that the control thread
/// names.
pub async fn exchange_statuses(traffic: Arc<TrafficState>, mut queries: mpsc::Receiver<NodeKey>) {
    let mut statuses = traffic.context.status.subscribe();
    let mut ticks = interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut load_ticks = interval(LOAD_INTERVAL);
    load_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sent: Option<NodeStatus> = None;
    loop {
        let mut due = None;
        tokio::select! {
            _ = ticks.tick() => due = Some(Audience::All),
            _ = load_ticks.tick() => {
                if !has_loads(&statuses.borrow()) {
                    continue;
                }
                due = Some(Audience::Planner);
            }
            changed = statuses.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(node) = queries.recv() => {
                tokio::spawn(query_state(traffic.clone(), node));
                continue;
            }
        }
        let status = statuses.borrow_and_update().clone();
        let directory = traffic.context.directory.load_full();
        let audience = match (&sent, due) {
            (None, _) | (_, Some(Audience::All)) => Audience::All,
            (Some(sent), _) if is_urgent(sent, &status) => Audience::All,
            (Some(sent), _) if has_new_rows(sent, &status) => Audience::NonReaders,
            (_, Some(audience)) => audience,
            (_, None) => continue,
        };
        send_status(&traffic, &directory, &status, audience);
        sent = Some(status);
    }
}

/// Whether a change has to be sent to all other nodes at once.
fn is_urgent(sent: &NodeStatus, status: &NodeStatus) -> bool {
    let target_state = |it: &NodeStatus| {
        let target = it.target.as_ref();
        target.map(|it| {
            let is_limited = it.limit_milli_per_s.is_some();
            let is_cold = it.cold_limit_milli_per_s.is_some();
            (it.id.clone(), it.born_ms, it.is_draining, it.is_silent, is_limited, is_cold)
        })
    };
    sent.is_closing != status.is_closing
        || sent.is_refusing != status.is_refusing
        || sent.reaches_store != status.reaches_store
        || sent.confirms_config != status.confirms_config
        || sent.facts != status.facts
        || sent.crash_count != status.crash_count
        || target_state(sent) != target_state(status)
}

/// Whether this node has read another config or other rows from the store than the last status
/// says. Nodes that do not read the store should then query it.
fn has_new_rows(sent: &NodeStatus, status: &NodeStatus) -> bool {
    status.reaches_store
        && status.reads_rows
        && ((sent.rows_version, sent.config_version)
            != (status.rows_version, status.config_version)
            || sent.evacuations != status.evacuations)
}

/// The nodes to which a status is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// All other nodes.
    All,
    /// Nodes that do not read the shared rows from the store.
    NonReaders,
    /// The node that decides on the owners of keys.
    Planner,
}

fn has_loads(status: &NodeStatus) -> bool {
    status.target.as_ref().is_some_and(|it| !it.key_loads.is_empty())
}

/// Sends a status to each node of the audience, without the load of keys unless it is the planner.
fn send_status(
    traffic: &Arc<TrafficState>,
    directory: &Directory,
    status: &NodeStatus,
    audience: Audience,
) {
    for node in &directory.nodes {
        let is_recipient = match audience {
            Audience::All => true,
            Audience::NonReaders => !node.reads_rows,
            Audience::Planner => node.is_planner,
        };
        if node.is_local || !is_recipient {
            continue;
        }
        let (traffic, key, address) = (traffic.clone(), node.key, node.address);
        let name = node.name.clone();
        let target = status.target.as_ref();
        let target = target.map(|it| TargetIncarnation::new(it.id.as_str(), it.born_ms));
        let mut status = status.clone();
        if !node.is_planner
            && let Some(target) = &mut status.target
        {
            target.key_loads.clear();
        }
        traffic.context.quarantine.add_missing(&mut status, node.quarantine_digest);
        tokio::spawn(async move {
            let acknowledged = traffic.links.send_status(key, address, status).await;
            if let (Some((seen, _)), Some(target)) = (&acknowledged, target)
                && let Some(leaving_for_ms) = seen.target_leaving_for_ms
            {
                let since = boot_now().saturating_sub(Duration::from_millis(leaving_for_ms));
                let event = ControlEvent::TargetLeaving { target, since };
                traffic.context.control_events.notify(event);
            }
            // Most nodes do not confirm the config, and their acknowledgements say nothing.
            if let Some((seen, asked_at)) = acknowledged
                && seen.config_age_ms.is_some()
            {
                let event = ControlEvent::StatusAcknowledged { node: name, seen, asked_at };
                traffic.context.control_events.notify(event);
            }
        });
    }
}

/// Queries a node for the config and the shared rows that this node does not have yet.
async fn query_state(traffic: Arc<TrafficState>, node: NodeKey) {
    let directory = traffic.context.directory.load_full();
    let Some(entry) = directory.nodes.iter().find(|it| it.key == node) else {
        return;
    };
    let snapshot = traffic.context.sync_snapshot.load();
    let query =
        SyncQuery { config_version: snapshot.config_version, rows_version: snapshot.rows_version };
    let asked_at = boot_now();
    let result = traffic
        .links
        .call(node, entry.address, Body::SyncQuery(query), QUERY_TIMEOUT, || true, pending())
        .await;
    match result {
        Ok(Body::SyncState(state)) => {
            traffic
                .context
                .control_events
                .send(ControlEvent::PeerSyncState { state, asked_at })
                .await;
        }
        Ok(_) => {
            log::warn!(event = "peer_reply_unexpected", peer = &*entry.name; "");
            traffic.context.control_events.send(ControlEvent::PeerQueryFailed).await;
        }
        Err(error) => {
            log::info!(event = "peer_question_failed", peer = &*entry.name, reason:% = error; "");
            traffic.context.control_events.send(ControlEvent::PeerQueryFailed).await;
        }
    }
}
