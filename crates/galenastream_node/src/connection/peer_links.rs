//! Connections to other nodes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use galenastream_routing::NodeKey;
use galenastream_runtime::{FrameLink, PeerError, boot_now};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{NodeStatus, PeerFrame, SyncQuery, peer_frame::Body};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use crate::process::{ControlEvent, Directory, TrafficState};

/// Interval at which nodes say what they are, even if nothing has changed.
const STATUS_INTERVAL: Duration = Duration::from_millis(1_000);

/// How often the node that plans is told the load of keys. Other nodes do not need it.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// How long the reply to a status may take, before the connection counts as silent.
const STATUS_LIMIT: Duration = Duration::from_millis(1_200);

/// How long the reply to a question may take.
const QUESTION_LIMIT: Duration = Duration::from_millis(800);

/// How long to wait after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

type Link = FrameLink<PeerFrame>;

/// Connections to other nodes, one for each, opened when they are needed.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<FastMap<NodeKey, Arc<PeerSlot>>>,
}

#[derive(Debug)]
struct PeerSlot {
    link: tokio::sync::Mutex<Option<Arc<Link>>>,
    failed_at_ns: AtomicU64,
}

impl PeerLinks {
    /// Creates a set without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a message to a node and waits for the reply. Dropping the future cancels it.
    pub async fn ask(
        &self,
        node: NodeKey,
        address: SocketAddr,
        body: Body,
        limit: Duration,
    ) -> Result<Body, PeerError> {
        let link = self.link(node, address).await?;
        link.ask(body, limit).await
    }

    async fn link(&self, node: NodeKey, address: SocketAddr) -> Result<Arc<Link>, PeerError> {
        let slot = self.slot(node);
        let mut place = slot.link.lock().await;
        if let Some(link) = place.as_ref().filter(|it| !it.is_closed()) {
            return Ok(link.clone());
        }
        let failed_at = BootInstant::new(slot.failed_at_ns.load(Ordering::Relaxed));
        if boot_now().saturating_since(failed_at) < RECONNECT_PAUSE {
            return Err(PeerError::NotSent);
        }
        match Link::connect(address).await {
            Ok(link) => {
                let link = Arc::new(link);
                *place = Some(link.clone());
                Ok(link)
            }
            Err(error) => {
                slot.failed_at_ns.store(boot_now().as_ns(), Ordering::Relaxed);
                Err(error)
            }
        }
    }

    /// Breaks the connection to a node that has fallen silent.
    async fn abandon(&self, node: NodeKey) {
        if let Some(link) = self.slot(node).link.lock().await.take() {
            link.abandon();
        }
    }

    fn slot(&self, node: NodeKey) -> Arc<PeerSlot> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = links.entry(node).or_insert_with(|| {
            let link = tokio::sync::Mutex::new(None);
            Arc::new(PeerSlot { link, failed_at_ns: AtomicU64::new(0) })
        });
        slot.clone()
    }
}

/// Tells all other nodes what this one is, and asks them what the control thread wants to know.
pub async fn exchange_statuses(traffic: Arc<TrafficState>, mut questions: mpsc::Receiver<NodeKey>) {
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
            Some(node) = questions.recv() => {
                tokio::spawn(ask_for_state(traffic.clone(), node));
                continue;
            }
        }
        let status = statuses.borrow_and_update().clone();
        let directory = traffic.context.directory.load_full();
        let audience = match (&sent, due) {
            (None, _) | (_, Some(Audience::All)) => Audience::All,
            (Some(sent), _) if is_urgent(sent, &status) => Audience::All,
            (Some(sent), _) if has_news(sent, &status) => Audience::NoReaders,
            (_, Some(audience)) => audience,
            (_, None) => continue,
        };
        tell(&traffic, &directory, &status, audience);
        sent = Some(status);
    }
}

/// Whether others have to know of a change at once.
fn is_urgent(sent: &NodeStatus, status: &NodeStatus) -> bool {
    let identity = |it: &NodeStatus| {
        let target = it.target.as_ref();
        target.map(|it| (it.id.clone(), it.born_ms, it.is_draining, it.is_silent))
    };
    sent.is_closing != status.is_closing
        || sent.is_refusing != status.is_refusing
        || sent.reaches_store != status.reaches_store
        || sent.facts != status.facts
        || identity(sent) != identity(status)
}

/// Whether nodes that do not read the store should ask for what this one has read.
fn has_news(sent: &NodeStatus, status: &NodeStatus) -> bool {
    status.reaches_store
        && status.reads_rows
        && (sent.rows_version, sent.config_version) != (status.rows_version, status.config_version)
}

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// All other nodes.
    All,
    /// Nodes that do not read the shared rows from the store.
    NoReaders,
    /// The node that plans.
    Planner,
}

fn has_loads(status: &NodeStatus) -> bool {
    status.target.as_ref().is_some_and(|it| !it.key_loads.is_empty())
}

fn tell(
    traffic: &Arc<TrafficState>,
    directory: &Directory,
    status: &NodeStatus,
    audience: Audience,
) {
    for node in &directory.nodes {
        let is_told = match audience {
            Audience::All => true,
            Audience::NoReaders => !node.reads_rows,
            Audience::Planner => node.is_planner,
        };
        if node.is_local || !is_told {
            continue;
        }
        let (traffic, key, address) = (traffic.clone(), node.key, node.address);
        let mut status = status.clone();
        if !node.is_planner
            && let Some(target) = &mut status.target
        {
            target.key_loads.clear();
        }
        tokio::spawn(async move {
            let asked = traffic.links.ask(key, address, Body::Status(status), STATUS_LIMIT).await;
            if asked == Err(PeerError::TimedOut) {
                log::info!(event = "peer_silent", peer:% = address; "");
                traffic.links.abandon(key).await;
            }
        });
    }
}

async fn ask_for_state(traffic: Arc<TrafficState>, node: NodeKey) {
    let directory = traffic.context.directory.load_full();
    let Some(entry) = directory.nodes.iter().find(|it| it.key == node) else {
        return;
    };
    let known = traffic.context.sync_snapshot.load();
    let query =
        SyncQuery { config_version: known.config_version, rows_version: known.rows_version };
    let asked_at = boot_now();
    let asked =
        traffic.links.ask(node, entry.address, Body::SyncQuery(query), QUESTION_LIMIT).await;
    match asked {
        Ok(Body::SyncState(state)) => {
            traffic.context.notify(ControlEvent::PeerSyncState { state, asked_at });
        }
        Ok(_) => log::warn!(event = "peer_reply_unexpected", peer = &*entry.name; ""),
        Err(error) => {
            log::info!(event = "peer_question_failed", peer = &*entry.name, reason:% = error; "");
        }
    }
}
