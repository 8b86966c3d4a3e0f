//! Scenarios in which keys are granted by calls.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{ScenarioFault, ScenarioFaultKind, ScenarioPlan};

/// The duration of a period in which calls are late.
const MIN_LATE_MS: u64 = 1_000;
const MAX_LATE_MS: u64 = 5_000;

impl ScenarioPlan {
    /// Grants the keys of targets by calls, some of which are late while other faults last. The same
    /// seed draws the same periods.
    #[must_use]
    pub fn with_lease_calls(mut self, seed: u64) -> Self {
        // The draws of the scenario itself stay as they are without calls.
        let mut rng = StdRng::seed_from_u64(!seed);
        for vm in &mut self.vms {
            vm.conduct.takes_calls = true;
            vm.conduct.checks_fences = true;
        }
        let last_end = self.faults.iter().map(ScenarioFault::end).max().unwrap_or_default();
        let last_end_ms = u64::try_from(last_end.as_millis()).unwrap_or(u64::MAX);
        for _ in 0..rng.random_range(0..=3) {
            let vm = rng.random_range(0..self.vms.len());
            let for_ms = rng.random_range(MIN_LATE_MS..MAX_LATE_MS);
            let at_ms = rng.random_range(0..=last_end_ms.saturating_sub(for_ms));
            let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
            self.faults.push(ScenarioFault::new(ScenarioFaultKind::CallsLate, vm, at, length));
        }
        self
    }
}
