//! Reports the load of the held slices to the control thread.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use galenastream_ownership::Event;
use tokio::time::sleep;

use super::Node;

/// How often the load is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Reports the load of the held slices until the process ends.
pub async fn report_load(node: Arc<Node>) {
    let mut reported_at = Instant::now();
    loop {
        sleep(REPORT_INTERVAL).await;
        let loads = node.serving.report_loads(reported_at.elapsed());
        reported_at = Instant::now();
        if !loads.is_empty() {
            node.tell(Event::LoadMeasured(loads));
        }
    }
}
