//! Waiting for a condition.

use std::time::Duration;

use anyhow::bail;
use tokio::time::{Instant, sleep};

/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds. Fails if it does not hold within `timeout`; the error then names
/// the condition by `name`, for example `vm-0 to end`.
pub async fn wait_until(
    name: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > timeout {
            bail!("timed out after {timeout:?} while waiting for {name}");
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
