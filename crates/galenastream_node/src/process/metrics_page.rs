//! The metrics page.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms in seconds, from a fast answer to the longest deadline of
/// a request.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of metrics. Must be called once.
pub(super) fn start_metrics() -> anyhow::Result<()> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?;
    let handle = builder.install_recorder()?;
    RECORDER.set(handle).map_err(|_| anyhow::anyhow!("the metrics recorder is already installed"))
}

/// Renders all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render_metrics() -> String {
    RECORDER.get().map_or_else(String::new, PrometheusHandle::render)
}
