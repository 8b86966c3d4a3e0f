//! Starts and stops the process.

use std::{
    net::{TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::Arc,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use galenastream_ownership::Incarnation;
use galenastream_platform::{
    CELL_TABLE, CellStore, ObjectClient, PlatformLimits, SETTINGS_BUCKET, SETTINGS_TABLE,
    SettingsStore, TableClient,
};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::{Builder, Runtime},
    sync::mpsc,
};
use volo_http::server::{Server, layer::BodyLimitLayer};

use super::{
    Bootstrap, ControlThread, Node, NodeParts, follow_settings, read_first_settings, report_load,
    start_metrics, stop_gracefully, wait_for_signal, watch_target,
};
use crate::{
    connection::{
        CallerListener, CallerService, METRICS_UPKEEP_INTERVAL, admin_router, serve_peers,
    },
    version::SettingsVersionInForce,
};

/// The longest body of a request to the admin address.
const MAX_ADMIN_BODY_BYTES: usize = 64 * 1024;

/// Runs the process until a signal ends it.
pub fn run_daemon(bootstrap: &Bootstrap) -> anyhow::Result<()> {
    let sockets = Sockets::bind(bootstrap)?;
    let metrics = start_metrics()?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(bootstrap.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = run_on(&runtime, bootstrap, sockets, metrics);
    runtime.shutdown_background();
    result
}

struct Sockets {
    control: StdUdpSocket,
    peers: StdTcpListener,
    callers: StdTcpListener,
    admin: StdTcpListener,
}

impl Sockets {
    fn bind(bootstrap: &Bootstrap) -> anyhow::Result<Self> {
        let vm = bootstrap.vm_address;
        let sockets = Self {
            control: StdUdpSocket::bind(vm).with_context(|| in_use("vm_address (UDP)", &vm))?,
            peers: StdTcpListener::bind(vm).with_context(|| in_use("vm_address (TCP)", &vm))?,
            callers: StdTcpListener::bind(bootstrap.caller_address)
                .with_context(|| in_use("caller_address", &bootstrap.caller_address))?,
            admin: StdTcpListener::bind(bootstrap.admin_address)
                .with_context(|| in_use("admin_address", &bootstrap.admin_address))?,
        };
        sockets.control.set_nonblocking(true)?;
        sockets.peers.set_nonblocking(true)?;
        sockets.callers.set_nonblocking(true)?;
        sockets.admin.set_nonblocking(true)?;
        Ok(sockets)
    }
}

fn in_use(field: &str, address: &dyn std::fmt::Display) -> String {
    format!(
        "cannot listen at {field} = {address}; end the other process there, or correct the file"
    )
}

fn run_on(
    runtime: &Runtime,
    bootstrap: &Bootstrap,
    sockets: Sockets,
    metrics: PrometheusHandle,
) -> anyhow::Result<()> {
    let (events, event_queue) = mpsc::unbounded_channel();
    let defaults = SettingsVersionInForce::defaults(bootstrap)
        .map_err(|errors| anyhow::anyhow!("built-in settings: {errors}"))?;
    let node = Arc::new(Node::new(NodeParts {
        settings: defaults,
        cell_store: cell_store(bootstrap),
        incarnation: new_incarnation()?,
        events,
        runtime: runtime.handle().clone(),
        metrics,
        bootstrap: bootstrap.clone(),
    })?);
    log::info!(
        event = "started",
        vm:% = node.vm(),
        incarnation = node.incarnation().0,
        service = bootstrap.service.as_str(),
        place = bootstrap.place.as_str();
        "process started"
    );
    runtime.block_on(async {
        tokio::spawn(serve_admin(node.clone(), TcpListener::from_std(sockets.admin)?));
        let store = settings_store(bootstrap);
        tokio::select! {
            settings = read_first_settings(&store, bootstrap) => {
                node.settings.install(settings);
            }
            signal = wait_for_signal() => return signal,
        }
        node.apply_settings();
        start_control(node.clone(), sockets.control, event_queue)?;
        tokio::spawn(serve_peers(node.clone(), TcpListener::from_std(sockets.peers)?));
        tokio::spawn(watch_target(node.clone()));
        tokio::spawn(report_load(node.clone()));
        let callers = TcpListener::from_std(sockets.callers)?;
        let callers = tokio::spawn(serve_callers(node.clone(), callers));
        wait_for_signal().await?;
        stop_gracefully(&node).await;
        callers.await.context("the callers' interface failed")
    })
}

fn start_control(
    node: Arc<Node>,
    socket: StdUdpSocket,
    events: mpsc::UnboundedReceiver<galenastream_ownership::Event>,
) -> anyhow::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        runtime.block_on(async move {
            let socket = match UdpSocket::from_std(socket) {
                Ok(socket) => socket,
                Err(error) => {
                    log::error!(event = "control_failed"; "{error}");
                    return;
                }
            };
            let store = settings_store(&node.bootstrap);
            tokio::spawn(follow_settings(node.clone(), store));
            let cells = cell_store(&node.bootstrap);
            ControlThread::new(node, socket, cells, events).run().await;
        });
    };
    thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(())
}

async fn serve_admin(node: Arc<Node>, listener: TcpListener) {
    let metrics = node.metrics.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
            metrics.run_upkeep();
        }
    });
    let stopping = node.clone();
    let server = Server::new(admin_router(&node))
        .layer(BodyLimitLayer::new(MAX_ADMIN_BODY_BYTES))
        .register_shutdown_hook(move || Box::pin(wait_for_stop(stopping)));
    let incoming = volo::net::incoming::DefaultIncoming::from(listener);
    if let Err(error) = server.run(incoming).await {
        log::error!(event = "admin_failed"; "{error}");
    }
}

async fn serve_callers(node: Arc<Node>, listener: TcpListener) {
    let stopping = node.clone();
    let server = Server::new(CallerService::new(node.clone()))
        .register_shutdown_hook(move || Box::pin(wait_for_stop(stopping)));
    if let Err(error) = server.run(CallerListener::new(listener, node)).await {
        log::error!(event = "callers_failed"; "{error}");
    }
}

async fn wait_for_stop(node: Arc<Node>) {
    node.shutdown.wait_for_finishing().await;
}

fn cell_store(bootstrap: &Bootstrap) -> CellStore {
    let endpoint = format!("http://{}", bootstrap.platform.table_address);
    CellStore::new(TableClient::new(&endpoint, CELL_TABLE, PlatformLimits::default()))
}

fn settings_store(bootstrap: &Bootstrap) -> SettingsStore {
    let limits = PlatformLimits::default();
    let table = format!("http://{}", bootstrap.platform.table_address);
    let objects = format!("http://{}", bootstrap.platform.object_address);
    SettingsStore::new(
        TableClient::new(&table, SETTINGS_TABLE, limits),
        ObjectClient::new(&objects, SETTINGS_BUCKET, limits),
    )
}

/// The life of this process: the time of its start, which is later than any earlier life's.
fn new_incarnation() -> anyhow::Result<Incarnation> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("the VM's clock is before 1970; set it")?;
    Ok(Incarnation(u64::try_from(since_epoch.as_micros())?))
}
