//! Which target of a service a request is sent to.
//!
//! Load patterns: targets of one service differ in speed by a factor of two and more; some turn
//! slow for seconds; some fail a part of their requests at once, which makes them look fast; a
//! request to another data centre costs bytes that are paid for.

use galenastream_utils::{BootInstant, FastMap};

/// Weight of a new sample in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.08;

/// How much longer a request seems to take at a target that fails all of them.
const FAILURE_PENALTY: f64 = 12.0;

/// Time after which the load and the failures that a target showed count for half.
const HALF_LIFE_MS: f64 = 700.0;

/// Time after which the service time that a target showed counts for half, the other half being that
/// of the fastest one: about as long as targets are cold or slow.
const SERVICE_TIME_HALF_LIFE_MS: f64 = 3_000.0;

/// The service time of a target that nothing is known of.
const UNKNOWN_SERVICE_TIME_US: f64 = 50_000.0;

/// Names a target's node in the arena of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u32);

/// A target that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCandidate {
    /// The node beside it.
    pub node: NodeKey,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is in the data centre of the chooser.
    pub is_same_data_centre: bool,
}

/// What a target's node said with its last reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLoad {
    /// Requests that waited or ran there.
    pub pending: u32,
    /// The mean service time; 0 if nothing was measured.
    pub service_time_us: u32,
}

/// What this node knows of the targets that it sends requests to.
#[derive(Debug, Clone, Default)]
pub struct TargetSelector {
    nodes: FastMap<NodeKey, NodeRecord>,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeRecord {
    in_progress: u32,
    observed_pending: f64,
    observed_at: BootInstant,
    service_time_us: f64,
    failure_share: f64,
    failed_at: BootInstant,
}

impl TargetSelector {
    /// Creates a book that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses the target at which a request is expected to end first. In another data centre it
    /// seems to take longer by `remote_penalty` times the service time.
    pub fn choose(
        &self,
        candidates: &[TargetCandidate],
        remote_penalty: f64,
        now: BootInstant,
    ) -> Option<NodeKey> {
        let least_us = self.least_service_time_us(candidates);
        let expected = |it: &TargetCandidate| {
            let remote = if it.is_same_data_centre { 0.0 } else { remote_penalty };
            self.expected_time(it, least_us, remote, now)
        };
        let by_time =
            |a: &&TargetCandidate, b: &&TargetCandidate| expected(a).total_cmp(&expected(b));
        candidates.iter().min_by(by_time).map(|it| it.node)
    }

    /// Counts a request that was sent.
    pub fn begin(&mut self, node: NodeKey) {
        self.nodes.entry(node).or_default().in_progress += 1;
    }

    /// Counts a request that ended.
    pub fn finish(&mut self, node: NodeKey) {
        let record = self.nodes.entry(node).or_default();
        record.in_progress = record.in_progress.saturating_sub(1);
    }

    /// Notes what a target's node said with a reply.
    pub fn observe(&mut self, node: NodeKey, load: ObservedLoad, now: BootInstant) {
        let record = self.nodes.entry(node).or_default();
        record.observed_pending = f64::from(load.pending);
        record.observed_at = now;
        if load.service_time_us > 0 {
            record.service_time_us = f64::from(load.service_time_us);
        }
    }

    /// Notes whether a target failed a request.
    pub fn record_result(&mut self, node: NodeKey, failed: bool, now: BootInstant) {
        let record = self.nodes.entry(node).or_default();
        let sample = f64::from(u8::from(failed));
        record.failure_share += (sample - record.failure_share) * FAILURE_WEIGHT;
        if failed {
            record.failed_at = now;
        }
    }

    /// The service time of the fastest target.
    fn least_service_time_us(&self, candidates: &[TargetCandidate]) -> f64 {
        let known = candidates.iter().filter_map(|it| self.nodes.get(&it.node));
        let times = known.map(|it| it.service_time_us).filter(|it| *it > 0.0);
        times.min_by(f64::total_cmp).unwrap_or(UNKNOWN_SERVICE_TIME_US)
    }

    fn expected_time(
        &self,
        candidate: &TargetCandidate,
        least_us: f64,
        remote: f64,
        now: BootInstant,
    ) -> f64 {
        let record = self.nodes.get(&candidate.node).copied().unwrap_or_default();
        // A target that is avoided tells nothing new, so what is known of it must not last.
        let certainty = match record.service_time_us > 0.0 {
            true => fade(record.observed_at, now, SERVICE_TIME_HALF_LIFE_MS),
            false => 0.0,
        };
        let service_time = least_us + (record.service_time_us - least_us) * certainty;
        let observed = record.observed_pending * fade(record.observed_at, now, HALF_LIFE_MS);
        let pending = observed.max(f64::from(record.in_progress)) + 1.0;
        let occupancy = pending / f64::from(candidate.slots.max(1));
        // Targets slow down before their slots are full, so load spreads before anything waits.
        let waiting = (occupancy - 1.0).max(0.0) + occupancy.min(1.0).powi(2) / 2.0;
        let failures =
            record.failure_share * fade(record.failed_at, now, HALF_LIFE_MS) * FAILURE_PENALTY;
        service_time * (1.0 + waiting + remote + failures)
    }
}

/// What is left of the weight of something that was seen at `since`.
fn fade(since: BootInstant, now: BootInstant, half_life_ms: f64) -> f64 {
    let age_ms = now.saturating_since(since).as_secs_f64() * 1_000.0;
    (-age_ms / half_life_ms).exp2()
}
