//! Selection of the target of a service that a request is sent to.
//!
//! Load patterns: the targets of a service differ in speed by a factor of two and more; some become
//! slow for seconds; some fail a part of their requests immediately, which makes them look fast;
//! some announce that they take a fraction of the requests; traffic to another data centre is billed;
//! many nodes select from the same old observations at the same time.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastMap};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::RequestRate;

/// Weight of a new sample in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.08;

/// The expected latency of a target that fails all requests rises by this many service times.
const FAILURE_PENALTY: f64 = 12.0;

/// Half-life in milliseconds of the observed load and failures of a target.
const LOAD_HALF_LIFE_MS: f64 = 700.0;

/// Half-life in milliseconds of the observed service time of a target, which decays to that of the
/// fastest one. Targets stay cold or slow for about this long.
const SERVICE_TIME_HALF_LIFE_MS: f64 = 3_000.0;

/// The assumed service time in microseconds if none of the candidates has a known one.
const UNKNOWN_SERVICE_TIME_US: f64 = 50_000.0;

/// The number of candidates that are compared for a request. Many nodes select at the same time from
/// observations that are up to a second old. If they compared all candidates, all of them would
/// select the one that looks best. Of n targets, each gets at most this many nths of the requests.
const SAMPLE_SIZE: usize = 4;

/// The lowest assumed number of requests that a target processes at once, so that expected
/// latencies stay finite.
const MIN_CAPACITY: f64 = 0.001;

const US_PER_S: f64 = 1_000_000.0;

/// Identifies the node beside a target within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u32);

/// A target that may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCandidate {
    /// The node beside the target.
    pub node: NodeKey,
    /// Requests that the target processes at once.
    pub slots: u32,
    /// Whether the target is in the same data centre as this node.
    pub is_same_data_centre: bool,
    /// The request limit that the target announces.
    pub limit: Option<RequestRate>,
}

/// The load of a target, as its node reported it with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLoad {
    /// Requests that waited for the target or ran there.
    pub pending: u32,
    /// The mean service time in microseconds; 0 if nothing was measured.
    pub service_time_us: u32,
}

/// What is expected of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEstimate {
    /// The expected latency, with penalties.
    pub latency: Duration,
    /// The time since the last observation of the load; `None` if there was none.
    pub load_age: Option<Duration>,
    /// Requests that this node has in progress there.
    pub in_progress: u32,
}

/// Selects targets by their expected latencies, from the load and failures that this node observes.
#[derive(Debug, Clone)]
pub struct TargetSelector {
    random: SmallRng,
    nodes: FastMap<NodeKey, NodeRecord>,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeRecord {
    in_progress: u32,
    observed_pending: f64,
    observed_at: BootInstant,
    service_time_us: f64,
    service_time_at: BootInstant,
    failure_rate: f64,
    failed_at: BootInstant,
}

impl TargetSelector {
    /// Creates a selector without observations. Nodes should have different seeds, so that they do
    /// not select the same targets at the same time.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed), nodes: FastMap::default() }
    }

    /// Selects the target with the lowest expected latency among a few random candidates. For a
    /// target in another data centre, `remote_penalty` service times are added.
    pub fn choose(
        &mut self,
        candidates: &[TargetCandidate],
        remote_penalty: f64,
        now: BootInstant,
    ) -> Option<NodeKey> {
        let sample = self.sample(candidates);
        let min_us = self.min_service_time_us(candidates);
        let expected = |it: &TargetCandidate| {
            let remote = if it.is_same_data_centre { 0.0 } else { remote_penalty };
            self.expected_latency_us(it, min_us, remote, now)
        };
        let by_latency =
            |a: &&TargetCandidate, b: &&TargetCandidate| expected(a).total_cmp(&expected(b));
        sample.iter().min_by(by_latency).map(|it| it.node)
    }

    /// Returns what is expected of a request at a target, for explanations.
    pub fn estimate(
        &self,
        candidate: &TargetCandidate,
        remote_penalty: f64,
        now: BootInstant,
    ) -> TargetEstimate {
        let remote = if candidate.is_same_data_centre { 0.0 } else { remote_penalty };
        let min_us = self.min_service_time_us(std::slice::from_ref(candidate));
        let latency_us = self.expected_latency_us(candidate, min_us, remote, now);
        let record = self.nodes.get(&candidate.node);
        let observed = record.filter(|it| it.service_time_us > 0.0);
        TargetEstimate {
            latency: Duration::from_micros(latency_us as u64),
            load_age: observed.map(|it| now.saturating_since(it.observed_at)),
            in_progress: record.map_or(0, |it| it.in_progress),
        }
    }

    /// Returns up to [`SAMPLE_SIZE`] random candidates.
    fn sample(&mut self, candidates: &[TargetCandidate]) -> Vec<TargetCandidate> {
        let mut sample = candidates.to_vec();
        for index in 0..sample.len().min(SAMPLE_SIZE) {
            let other = self.random.random_range(index..sample.len());
            sample.swap(index, other);
        }
        sample.truncate(SAMPLE_SIZE);
        sample
    }

    /// Counts a request that is sent to a target.
    pub fn begin(&mut self, node: NodeKey) {
        self.nodes.entry(node).or_default().in_progress += 1;
    }

    /// Counts the end of a request at a target.
    pub fn finish(&mut self, node: NodeKey) {
        let record = self.nodes.entry(node).or_default();
        record.in_progress = record.in_progress.saturating_sub(1);
    }

    /// Records the load that a target's node reported with a reply.
    pub fn observe(&mut self, node: NodeKey, load: ObservedLoad, now: BootInstant) {
        let record = self.nodes.entry(node).or_default();
        record.observed_pending = f64::from(load.pending);
        record.observed_at = now;
        if load.service_time_us > 0 {
            record.service_time_us = f64::from(load.service_time_us);
            record.service_time_at = now;
        }
    }

    /// The observed service time of a target, if there is one.
    pub fn service_time(&self, node: NodeKey) -> Option<Duration> {
        let service_time_us = self.nodes.get(&node)?.service_time_us;
        (service_time_us > 0.0).then(|| Duration::from_micros(service_time_us as u64))
    }

    /// Discards the observed service time of a target, which then counts as fast as the fastest. For
    /// a target whose request limit has ended: it was measured before or under the limit, from few
    /// requests.
    pub fn forget_service_time(&mut self, node: NodeKey) {
        self.nodes.entry(node).or_default().service_time_us = 0.0;
    }

    /// Records whether a target failed a request.
    pub fn record_result(&mut self, node: NodeKey, failed: bool, now: BootInstant) {
        let record = self.nodes.entry(node).or_default();
        let sample = f64::from(u8::from(failed));
        record.failure_rate += (sample - record.failure_rate) * FAILURE_WEIGHT;
        if failed {
            record.failed_at = now;
        }
    }

    /// Returns the service time in microseconds of the fastest candidate, or the assumed one.
    fn min_service_time_us(&self, candidates: &[TargetCandidate]) -> f64 {
        let known = candidates.iter().filter_map(|it| self.nodes.get(&it.node));
        let times = known.map(|it| it.service_time_us).filter(|it| *it > 0.0);
        times.min_by(f64::total_cmp).unwrap_or(UNKNOWN_SERVICE_TIME_US)
    }

    /// Returns the expected latency of a request in microseconds, with penalties.
    fn expected_latency_us(
        &self,
        candidate: &TargetCandidate,
        min_us: f64,
        remote_penalty: f64,
        now: BootInstant,
    ) -> f64 {
        let record = self.nodes.get(&candidate.node).copied().unwrap_or_default();
        // A target that is avoided sends no new observations, so old ones have to lose weight.
        let confidence = match record.service_time_us > 0.0 {
            true => decay(record.service_time_at, now, SERVICE_TIME_HALF_LIFE_MS),
            false => 0.0,
        };
        let service_time = min_us + (record.service_time_us - min_us) * confidence;
        let decayed_pending =
            record.observed_pending * decay(record.observed_at, now, LOAD_HALF_LIFE_MS);
        let pending = decayed_pending.max(f64::from(record.in_progress)) + 1.0;
        let occupancy = pending / capacity(candidate, service_time);
        // Targets slow down before their slots are full, so load is spread before requests wait.
        let queueing = (occupancy - 1.0).max(0.0) + occupancy.min(1.0).powi(2) / 2.0;
        let failure_penalty =
            record.failure_rate * decay(record.failed_at, now, LOAD_HALF_LIFE_MS) * FAILURE_PENALTY;
        service_time * (1.0 + queueing + remote_penalty + failure_penalty)
    }
}

/// Returns how many requests a target processes at once. A request limit keeps only a part of the
/// slots busy.
fn capacity(candidate: &TargetCandidate, service_time_us: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let Some(limit) = candidate.limit else {
        return slots;
    };
    slots.min(limit.per_s() * service_time_us / US_PER_S).max(MIN_CAPACITY)
}

/// Returns the remaining weight, from 1 down to 0, of an observation made at `since`.
fn decay(since: BootInstant, now: BootInstant, half_life_ms: f64) -> f64 {
    let age_ms = now.saturating_since(since).as_secs_f64() * 1_000.0;
    (-age_ms / half_life_ms).exp2()
}
