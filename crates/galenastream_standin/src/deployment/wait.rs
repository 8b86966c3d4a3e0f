//! Waiting for a condition.

use std::time::Duration;

use anyhow::bail;
use tokio::time::{Instant, sleep};

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds, and fails with its name if it does not within `limit`.
pub async fn wait_until(
    name: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > limit {
            bail!("waited {limit:?} in vain for {name}");
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
