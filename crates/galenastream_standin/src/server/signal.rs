//! The end of a stand-in's process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is asked to end. Stand-ins end at once, without a graceful shutdown.
pub async fn wait_for_signal() -> anyhow::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    std::process::exit(0)
}
