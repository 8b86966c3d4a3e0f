//! Start and graceful stop of the process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::Context;
use arc_swap::ArcSwap;
use galenastream_adapter::{NodeSettings, StoreClient};
use galenastream_routing::NodeKey;
use galenastream_runtime::boot_now;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc, watch},
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use super::ownership_log::millis;
use super::{
    ControlEvent, ControlQueue, ControlState, KeyMeter, NodeContext, RequestQuarantine,
    SyncSnapshot, TrafficState,
    commit::write_rows,
    control_loop::ControlLoop,
    lease_call_client::LeaseCallClient,
    logs::flush_log,
    metrics_page::{maintain_metrics, start_metrics},
    settings_follower::follow_settings,
    store_follower::{FollowedTable, follow_table},
};
use crate::connection::{
    exchange_statuses, serve_callers, serve_control, serve_health, serve_operators, serve_peers,
};
use crate::version::{ConfigDoubt, PublishedDoubt};

/// The port of the status and metrics pages, as declared to the platform in `deploy/system.toml`.
pub const OPERATORS_PORT: u16 = 9_464;

/// Capacity of the queues of control events, peer queries and writes.
const QUEUE_CAPACITY: usize = 1_024;

/// How long a stopping process goes on taking requests. The platform sends callers to other nodes
/// after two failed health checks, 1 s apart.
const CLOSING_TIME: Duration = Duration::from_millis(2_300);

/// How long a stopping process refuses requests before it may exit, so that all other nodes learn
/// of it and the requests that they have already sent are answered.
const REFUSING_TIME: Duration = Duration::from_millis(300);

/// Time between the latest exit of a stopping process and the end of the platform's grace period,
/// when the process is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Interval at which a stopping process checks whether it may exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the counts of requests and attempts are logged.
const TALLY_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the process until SIGTERM or SIGINT stops it.
///
/// Returns an error if the settings cannot be loaded or a listener of the traffic thread cannot be
/// bound. A failure of the control thread exits the process with code 1.
pub fn run_daemon(settings_path: &Path) -> anyhow::Result<()> {
    let settings = NodeSettings::load(settings_path)?;
    log::info!(
        event = "process_started",
        node = settings.node_name.as_str(),
        data_centre = settings.data_centre.as_str(),
        version = env!("CARGO_PKG_VERSION");
        ""
    );
    start_metrics()?;
    // Only one process at a time has this listener, and a target gets leases only through it. So every
    // lease of an earlier process was granted before `started_at`.
    let control = bind_control(settings.listeners.control)?;
    let started_at = boot_now();
    let quarantine = Arc::new(RequestQuarantine::new());
    let state = ControlState::new(settings.clone(), started_at).with_quarantine(quarantine.clone());
    let (control_events, events) = ControlQueue::new(QUEUE_CAPACITY);
    let (peer_queries, queries) = mpsc::channel(QUEUE_CAPACITY);
    let context = Arc::new(NodeContext {
        settings: ArcSwap::from_pointee(settings),
        reload_requested: Notify::new(),
        routing: Default::default(),
        config_doubt: PublishedDoubt { doubt: Some(ConfigDoubt::Starting), judged_at: boot_now() }
            .into(),
        directory: ArcSwap::from_pointee(state.directory(started_at)),
        directory_changes: watch::Sender::new(0),
        settings_tree: Default::default(),
        status_page: Default::default(),
        sync_snapshot: ArcSwap::from_pointee(SyncSnapshot::default()),
        status: watch::Sender::new(state.status(started_at)),
        control_events,
        key_meter: KeyMeter::new().into(),
        quarantine,
        target_limit: Default::default(),
        service_time_us: Default::default(),
        pending: Default::default(),
        target_connections: Default::default(),
        heartbeat_connections: Default::default(),
        reads_rows: Default::default(),
        rows_watch_ms: AtomicU64::new(millis(state.rows_watch())),
        own_row: watch::Sender::new(None),
        is_closing: Default::default(),
        is_refusing: Default::default(),
        has_keys_to_hand_over: Default::default(),
        has_leaves_to_write: Default::default(),
    });
    let traffic = Arc::new(TrafficState::new(context));
    let control_traffic = traffic.clone();
    let settings_path = settings_path.to_owned();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let result =
            run_control(control_traffic, control, state, events, peer_queries, settings_path);
        if let Err(error) = result {
            log::error!(event = "control_thread_failed", reason:% = error; "");
            flush_log();
            std::process::exit(1);
        }
    })?;
    let result = new_runtime()?.block_on(run_traffic(traffic, queries));
    log::info!(event = "process_stopped"; "");
    result
}

fn new_runtime() -> anyhow::Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

fn run_control(
    traffic: Arc<TrafficState>,
    control: std::net::TcpListener,
    state: ControlState,
    events: mpsc::Receiver<ControlEvent>,
    peer_queries: mpsc::Sender<NodeKey>,
    settings_path: PathBuf,
) -> anyhow::Result<()> {
    let context = traffic.context.clone();
    new_runtime()?.block_on(async {
        let listeners = context.settings.load().listeners;
        let control = TcpListener::from_std(control)?;
        let health = bind(listeners.ready).await?;
        let store = StoreClient::new(context.settings.load().store.address);
        let (commits, writes) = mpsc::channel(QUEUE_CAPACITY);
        let metrics = SocketAddr::new(listeners.control.ip(), OPERATORS_PORT);
        tokio::spawn(maintain_metrics());
        tokio::spawn(serve_operators(traffic, bind(metrics).await?));
        tokio::spawn(follow_settings(context.clone(), settings_path));
        tokio::spawn(serve_control(context.clone(), control));
        tokio::spawn(serve_health(context.clone(), health));
        tokio::spawn(follow_table(context.clone(), store, FollowedTable::Config));
        tokio::spawn(follow_table(context.clone(), store, FollowedTable::SharedRows));
        tokio::spawn(write_rows(context.clone(), store, writes));
        let target_address = context.settings.load().target_address;
        let lease_calls =
            Arc::new(LeaseCallClient::new(target_address, context.target_connections.clone()));
        ControlLoop { context, state, events, commits, peer_queries, lease_calls }.run().await;
        Ok(())
    })
}

async fn run_traffic(
    traffic: Arc<TrafficState>,
    queries: mpsc::Receiver<NodeKey>,
) -> anyhow::Result<()> {
    let listeners = traffic.context.settings.load().listeners;
    let callers = bind(listeners.callers).await?;
    let peers = bind(listeners.peers).await?;
    tokio::spawn(serve_callers(traffic.clone(), callers));
    tokio::spawn(serve_peers(traffic.clone(), peers));
    tokio::spawn(exchange_statuses(traffic.clone(), queries));
    tokio::spawn(log_tally(traffic.clone()));
    let link = traffic.link.clone();
    tokio::spawn(async move { link.run().await });
    let limited = traffic.clone();
    tokio::spawn(async move { limited.admission.run_request_limit().await });
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => traffic.context.reload_requested.notify_one(),
        }
    }
    stop(&traffic).await;
    traffic.tally().log_and_reset();
    Ok(())
}

async fn log_tally(traffic: Arc<TrafficState>) {
    let mut ticks = interval(TALLY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        traffic.tally().log_and_reset();
    }
}

/// Stops gracefully, within the platform's grace period: waits for the requests in progress, for the
/// handover of the keys, for the write of acknowledged leaves, and until the peers of all connections
/// have read what they were sent.
async fn stop(traffic: &TrafficState) {
    log::info!(event = "process_stopping"; "");
    let started_at = Instant::now();
    let context = &traffic.context;
    context.is_closing.store(true, Ordering::Relaxed);
    context.control_events.deliver(ControlEvent::Closing);
    let grace = Duration::from_millis(context.settings.load().bounds.grace_ms);
    let max_duration = grace.saturating_sub(EXIT_MARGIN);
    let stop_by = started_at + max_duration;
    traffic.end.announce(stop_by);
    sleep(CLOSING_TIME.min(max_duration.saturating_sub(REFUSING_TIME))).await;
    context.is_refusing.store(true, Ordering::Relaxed);
    context.control_events.deliver(ControlEvent::Refusing);
    sleep(REFUSING_TIME).await;
    loop {
        let is_idle =
            traffic.in_progress.load(Ordering::Relaxed) == 0 && traffic.link.transfer_count() == 0;
        let has_keys = context.has_keys_to_hand_over.load(Ordering::Relaxed);
        let has_leaves = context.has_leaves_to_write.load(Ordering::Relaxed);
        if Instant::now() >= stop_by || (is_idle && !has_keys && !has_leaves) {
            break;
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
    traffic.connections.begin_close();
    while traffic.connections.open() > 0 {
        if Instant::now() >= stop_by {
            log::info!(event = "connections_cut", count = traffic.connections.open(); "");
            return;
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
}

fn bind_control(address: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address).with_context(|| listen_failure(address))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| listen_failure(address))
}

fn listen_failure(address: SocketAddr) -> String {
    format!("cannot listen at {address}; end the other process there, or correct the settings")
}
