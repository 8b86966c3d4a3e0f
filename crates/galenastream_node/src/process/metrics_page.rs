//! The metrics page.

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use metrics_util::MetricKindMask;
use tokio::time::{MissedTickBehavior, interval};

/// Upper bounds of the latency histograms in seconds, from a fast answer to the longest deadline of
/// a request.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Time without a change after which a metric is removed: its route may be gone.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// Interval at which samples are added to their histograms. The recorder keeps each of them until then.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Number of upkeeps between two removals of idle metrics, which take longer.
const UPKEEPS_PER_REMOVAL: u32 = 12;

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the settings of the recorder of metrics.
pub fn metrics_recorder() -> Result<PrometheusBuilder, BuildError> {
    metrics_recorder_with_idle_time(IDLE_TIME)
}

/// Returns the settings of a recorder that removes metrics after this time without a change.
pub fn metrics_recorder_with_idle_time(
    idle_time: Duration,
) -> Result<PrometheusBuilder, BuildError> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?;
    Ok(builder.idle_timeout(MetricKindMask::ALL, Some(idle_time)))
}

/// Installs the recorder of metrics. Must be called once.
pub(super) fn start_metrics() -> anyhow::Result<()> {
    let handle = metrics_recorder()?.install_recorder()?;
    RECORDER.set(handle).map_err(|_| anyhow::anyhow!("the metrics recorder is already installed"))
}

/// Bounds the memory of the metrics until the process ends, whether or not anybody reads them.
pub(super) async fn maintain_metrics() {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for upkeep in 0_u32.. {
        ticks.tick().await;
        if let Some(handle) = RECORDER.get() {
            maintain_recorder(handle, upkeep);
        }
    }
}

/// Adds the samples to their histograms, and removes idle metrics from time to time.
pub fn maintain_recorder(handle: &PrometheusHandle, upkeep: u32) {
    handle.run_upkeep();
    if upkeep.is_multiple_of(UPKEEPS_PER_REMOVAL) {
        // Only rendering removes them.
        handle.render();
    }
}

/// Renders all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render_metrics() -> String {
    RECORDER.get().map_or_else(String::new, PrometheusHandle::render)
}
