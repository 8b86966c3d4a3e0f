//! The metrics of a node.

use std::time::Duration;

use galenastream_ownership::{DropReason, SettingsVersion};
use galenastream_routing::{NotRunReason, Outcome, UnknownReason};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::connection::PeerError;

const LATENCY_METRIC: &str = "galenastream_request_seconds";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 18] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.003, 0.005, 0.007_5, 0.01, 0.012, 0.015, 0.02, 0.03, 0.05,
    0.1, 0.25, 0.5, 1.0, 5.0,
];

/// Starts the metrics. Call it once, before the first one is recorded.
pub fn start_metrics() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?;
    Ok(builder.install_recorder()?)
}

/// The name of the histogram of latencies.
pub const fn latency_metric() -> &'static str {
    LATENCY_METRIC
}

/// Counts a finished request of a caller, and its latency.
pub fn request_finished(service: &str, class: &str, outcome: Outcome, latency: Duration) {
    let reason = match outcome {
        Outcome::Ran => "none",
        Outcome::NotRun(reason) => reason.as_str(),
        Outcome::Unknown(reason) => reason.as_str(),
    };
    counter!(
        "galenastream_requests_total",
        "service" => service.to_owned(),
        "class" => class.to_owned(),
        "outcome" => outcome.as_str(),
        "reason" => reason,
    )
    .increment(1);
    histogram!(LATENCY_METRIC, "service" => service.to_owned(), "class" => class.to_owned())
        .record(latency);
}

/// Counts a request that breaks a rule of the interface.
pub fn request_refused(reason: &'static str) {
    counter!("galenastream_requests_refused_total", "reason" => reason).increment(1);
}

/// Counts a request that its caller abandoned.
pub fn request_cancelled() {
    counter!("galenastream_requests_cancelled_total").increment(1);
}

/// Counts a retry.
pub fn retried(service: &str, outcome: Outcome) {
    let reason = match outcome {
        Outcome::Ran => "none",
        Outcome::NotRun(reason) => reason.as_str(),
        Outcome::Unknown(UnknownReason::PeerLost) => "peer-lost",
        Outcome::Unknown(reason) => reason.as_str(),
    };
    counter!("galenastream_retries_total", "service" => service.to_owned(), "reason" => reason)
        .increment(1);
}

/// Counts a request that the node beside the target refused.
pub fn shed(service: &str, class: &str, reason: NotRunReason) {
    counter!(
        "galenastream_shed_total",
        "service" => service.to_owned(),
        "class" => class.to_owned(),
        "reason" => reason.as_str(),
    )
    .increment(1);
}

/// Counts leases that ran out before they were renewed.
pub fn leases_lost(slices: u32) {
    counter!("galenastream_leases_lost_total").increment(u64::from(slices));
}

/// Counts a term that this node took.
pub fn term_taken() {
    counter!("galenastream_terms_taken_total").increment(1);
}

/// Counts slices that this node assigned as coordinator.
pub fn slices_assigned(slices: u32) {
    counter!("galenastream_slices_assigned_total").increment(u64::from(slices));
}

/// Counts a datagram that was dropped.
pub fn datagram_dropped(reason: &'static str) {
    counter!("galenastream_datagrams_dropped_total", "reason" => reason).increment(1);
}

/// Counts a frame from another node that was dropped.
pub fn frame_dropped(reason: &'static str) {
    counter!("galenastream_frames_dropped_total", "reason" => reason).increment(1);
}

/// Counts a request to another node that got no reply.
pub fn peer_failed(error: PeerError) {
    counter!("galenastream_peer_failures_total", "reason" => error.as_str()).increment(1);
}

/// Counts the bytes of a datagram.
pub fn control_bytes(direction: &'static str, bytes: usize) {
    counter!("galenastream_control_bytes_total", "direction" => direction).increment(bytes as u64);
    counter!("galenastream_control_datagrams_total", "direction" => direction).increment(1);
}

/// Sets the version of the settings in force.
pub fn settings_in_force(version: SettingsVersion) {
    gauge!("galenastream_settings_version").set(version.0 as f64);
}

/// Sets how many slices this node holds.
pub fn held_slices(slices: usize) {
    gauge!("galenastream_held_slices").set(slices as f64);
}

/// Sets whether the target beside this node is up.
pub fn target_up(up: bool) {
    gauge!("galenastream_target_up").set(if up { 1.0 } else { 0.0 });
}

/// The label of a message that the ownership state machine dropped.
pub const fn drop_reason(reason: DropReason) -> &'static str {
    match reason {
        DropReason::OtherReceiver => "other-receiver",
        DropReason::OldIncarnation => "old-incarnation",
        DropReason::OldTerm => "old-term",
        DropReason::Unsolicited => "unsolicited",
    }
}
