//! The choice of a member for a service that is not divided by key.

use galenastream_ownership::{FastMap, VmId};
use rand::{Rng, RngExt};

/// Weight of a new sample in the moving mean of the latency: one in this many.
const LATENCY_WEIGHT_DIVISOR: u64 = 16;

/// What this node itself measured of the members that it sends requests to.
///
/// The targets' own load endpoints lag or mislead, so they have no part in the choice.
#[derive(Debug, Clone, Default)]
pub struct MemberLoads {
    loads: FastMap<VmId, MemberLoad>,
}

#[derive(Debug, Clone, Copy, Default)]
struct MemberLoad {
    in_progress: u32,
    mean_latency_us: u64,
    /// Whether a request finished since the measurements were last aged.
    is_recent: bool,
}

/// A member that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: VmId,
    /// Slots of its target.
    pub slots: u32,
}

impl MemberLoads {
    /// Creates empty measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Draws two of the candidates and chooses the one with less expected work for each slot.
    pub fn choose<R: Rng>(&self, candidates: &[Candidate], rng: &mut R) -> Option<VmId> {
        let first_index = match candidates.len() {
            0 => return None,
            1 => return Some(candidates[0].vm),
            count => rng.random_range(0..count),
        };
        let offset = rng.random_range(1..candidates.len());
        let first = candidates[first_index];
        let second = candidates[(first_index + offset) % candidates.len()];
        if self.expected_work(second) < self.expected_work(first) {
            return Some(second.vm);
        }
        Some(first.vm)
    }

    /// Counts a request that was sent to a member.
    pub fn begin(&mut self, vm: VmId) {
        self.loads.entry(vm).or_default().in_progress += 1;
    }

    /// Counts a request that a member finished, or that was given up, after `latency_us`.
    pub fn finish(&mut self, vm: VmId, latency_us: u64) {
        let load = self.loads.entry(vm).or_default();
        load.in_progress = load.in_progress.saturating_sub(1);
        let kept_us = load.mean_latency_us - load.mean_latency_us / LATENCY_WEIGHT_DIVISOR;
        load.mean_latency_us = kept_us + latency_us / LATENCY_WEIGHT_DIVISOR;
        load.is_recent = true;
    }

    /// Halves the latency of members that finished nothing since the last call. Call it about once
    /// a second: a member that was slow gets no requests, so nothing else shows that it recovered.
    pub fn age(&mut self) {
        for load in self.loads.values_mut() {
            if !load.is_recent {
                load.mean_latency_us /= 2;
            }
            load.is_recent = false;
        }
    }

    /// Forgets members that are no longer known and have nothing in progress.
    pub fn retain(&mut self, candidates: &[Candidate]) {
        self.loads.retain(|vm, load| {
            load.in_progress > 0 || candidates.iter().any(|candidate| candidate.vm == *vm)
        });
    }

    fn expected_work(&self, candidate: Candidate) -> u64 {
        let load = self.loads.get(&candidate.vm).copied().unwrap_or_default();
        let work_us = u64::from(load.in_progress + 1) * load.mean_latency_us.max(1);
        work_us.saturating_mul(1_000) / u64::from(candidate.slots.max(1))
    }
}
