//! Checks which targets hold keys, and under which fencing tokens.

use crate::simulation::{STEP_MS, Simulation};

/// The keys whose holders are checked in each step.
const SAMPLE_KEYS: [u16; 9] = [0, 1, 9_000, 21_845, 21_846, 32_768, 43_690, 43_691, 65_535];

/// A target by its id and its life, and the fencing token under which it holds a key.
type Holder = (String, u64, u64);

/// What earlier steps have shown of the sampled keys.
#[derive(Debug, Default)]
pub struct Observations {
    highest_fences: [u64; SAMPLE_KEYS.len()],
    last_holders: [Option<Holder>; SAMPLE_KEYS.len()],
    /// For how long each key has had no holder.
    gaps_ms: [u64; SAMPLE_KEYS.len()],
    /// The longest time for which a key had no holder since the last call of
    /// [`reset_gaps`](Observations::reset_gaps).
    pub longest_gap_ms: u64,
}

impl Observations {
    pub fn reset_gaps(&mut self) {
        self.gaps_ms = Default::default();
        self.longest_gap_ms = 0;
    }
}

impl Simulation {
    pub fn check_invariants(&mut self) {
        for (sample, key) in SAMPLE_KEYS.into_iter().enumerate() {
            let mut holders = Vec::new();
            for (index, vm) in self.vms.iter().enumerate() {
                if let Some(fence) = vm.target.fence_of(key, self.now_ms) {
                    holders.push((index, (vm.target.id.clone(), vm.target.life, fence)));
                }
            }
            // A target may get keys again while it still works on them.
            let is_other =
                |index: usize| !self.is_varied() || holders.iter().any(|it| it.0 != index);
            let mut vms = self.vms.iter().enumerate();
            let is_releasing =
                vms.any(|(index, it)| it.target.is_releasing(key) && is_other(index));
            if holders.len() > 1 || (is_releasing && !holders.is_empty()) {
                self.record_violation(&format!("key {key} is held twice: {holders:?}"));
            }
            let observations = &mut self.observations;
            let Some((_, holder)) = holders.into_iter().next() else {
                observations.gaps_ms[sample] += STEP_MS;
                observations.longest_gap_ms =
                    observations.longest_gap_ms.max(observations.gaps_ms[sample]);
                continue;
            };
            self.held_samples += 1;
            observations.gaps_ms[sample] = 0;
            let last = &observations.last_holders[sample];
            let is_other = last.as_ref().is_some_and(|it| (&it.0, it.1) != (&holder.0, holder.1));
            let highest_fence = observations.highest_fences[sample];
            observations.highest_fences[sample] = highest_fence.max(holder.2);
            observations.last_holders[sample] = Some(holder.clone());
            if is_other && holder.2 <= highest_fence {
                self.record_violation(&format!("key {key} has no higher fence: {holder:?}"));
            }
        }
    }

    fn record_violation(&mut self, violation: &str) {
        self.violations.push(format!("{} ms: {violation}", self.now_ms));
    }
}
