//! The page of counters and histograms.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms in seconds, from a fast answer to the longest deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to record metrics. Call it once.
pub(super) fn start_metrics() -> anyhow::Result<()> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?;
    let handle = builder.install_recorder()?;
    RECORDER.set(handle).map_err(|_| anyhow::anyhow!("metrics are recorded already"))
}

/// The page of counters and histograms as text.
pub fn render_metrics() -> String {
    RECORDER.get().map_or_else(String::new, PrometheusHandle::render)
}
