//! Watches whether the target still announces itself.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{Node, boot_now};

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the target until the process ends.
pub async fn watch_target(node: Arc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if node.target.is_silent(boot_now()) {
            node.target_lost("no-announcement");
        }
    }
}
