//! The graceful stop of a process.

use std::{sync::Arc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{sleep, timeout},
};

use super::{Node, milliseconds};

/// How often the slices that are left are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How long replies to other nodes may take from their queues to the socket.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How far the stop of a process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It has not begun.
    Running,
    /// Slices move away; requests are served and passed on as before.
    Draining,
    /// No new work is taken; what is in progress is finished.
    Finishing,
}

/// Tells all parts of a process how far its stop has come.
#[derive(Debug)]
pub struct Shutdown {
    phase: watch::Sender<StopPhase>,
}

impl Shutdown {
    /// Creates the state of a process that runs.
    pub fn new() -> Self {
        Self { phase: watch::Sender::new(StopPhase::Running) }
    }

    /// How far the stop has come.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Waits until no new work is taken.
    pub async fn wait_for_finishing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = phase.wait_for(|it| *it >= StopPhase::Finishing).await;
    }

    fn advance(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Moves the slices away, takes no new work after the time that the settings allow, and waits
/// until nothing is in progress.
pub async fn stop_gracefully(node: &Arc<Node>) {
    node.begin_drain("signal");
    node.shutdown.advance(StopPhase::Draining);
    let settings = node.settings.current();
    let drain_ms = settings.service_or_root(node.bootstrap.service_id()).drain_ms;
    if timeout(milliseconds(drain_ms), wait_until_released(node)).await.is_err() {
        let left = node.serving.current().held().slices.len();
        log::warn!(event = "drain_incomplete", slices = left; "nobody took these slices over");
    }
    node.shutdown.advance(StopPhase::Finishing);
    node.requests.wait_until_empty().await;
    sleep(FLUSH_TIME).await;
    log::info!(event = "stopped"; "nothing is in progress");
}

/// Waits until the slices have new owners, and these have had the time to obtain their leases,
/// for which they need this node if it is the coordinator.
async fn wait_until_released(node: &Node) {
    while holds_slices(node) || owns_slices_as_coordinator(node) {
        sleep(CHECK_INTERVAL).await;
    }
    let settings = node.settings.current();
    let lease_ms = settings.service_or_root(node.bootstrap.service_id()).lease_ms;
    sleep(milliseconds(lease_ms)).await;
}

fn holds_slices(node: &Node) -> bool {
    !node.serving.current().held().slices.is_empty()
}

fn owns_slices_as_coordinator(node: &Node) -> bool {
    let view = node.view.load();
    let own = Some(node.vm());
    if view.coordinator.map(|it| it.vm) != own {
        return false;
    }
    let slices = view.row.iter().flat_map(|row| &row.slices);
    slices.into_iter().any(|slice| slice.owner.map(|it| it.vm) == own)
}
