//! Draws scenarios of the fault soak that last long enough for several takeovers of the same keys.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{ScenarioFault, ScenarioFaultKind as Kind, ScenarioPlan, ScenarioTraffic, ScenarioVm};
use crate::{CrashPlan, TargetConduct};

/// The period in which faults start and end. A takeover without the node of the owner takes 15.5 s.
const FAULTS_FROM_MS: u64 = 1_000;
const FAULTS_UNTIL_MS: u64 = 62_000;

/// How long the traffic goes on after the last fault: 15 s to recover, and 5 s that show whether the
/// deployment has.
const RECOVERY_MS: u64 = 20_000;

/// Draws the parts of a scenario.
struct OwnershipDraw {
    rng: StdRng,
    vm_count: usize,
    faults: Vec<ScenarioFault>,
}

impl ScenarioPlan {
    /// Draws a scenario with 3 to `max_vms` VMs in which nodes and targets are lost and come back in
    /// series. The same seed gives the same scenario.
    pub fn ownership_soak(seed: u64, max_vms: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let vm_count = rng.random_range(3..=max_vms.clamp(3, 6));
        let mut draw = OwnershipDraw { rng, vm_count, faults: Vec::new() };
        let conduct = draw.conduct();
        let vms = (0..vm_count).map(|it| draw.vm(it, conduct)).collect();
        draw.draw_faults();
        let last_end = draw.faults.iter().map(ScenarioFault::end).max().unwrap_or_default();
        let class = |name: &str, path: &str, share_percent, deadline_ms| ScenarioTraffic {
            name: name.to_owned(),
            path: path.to_owned(),
            share_percent,
            deadline_ms,
            body_bytes: 0,
            from: Duration::ZERO,
        };
        Self {
            name: "ownership".to_owned(),
            length: last_end + Duration::from_millis(RECOVERY_MS),
            warm_up: Duration::ZERO,
            rate_per_s: draw.rng.random_range(30.0..60.0),
            zipf_exponent: 0.0,
            shift_interval: Duration::ZERO,
            vms,
            traffic: vec![
                class("cart", "/carts/1", 70.0, 4_000),
                class("stock", "/stock/1", 15.0, 2_000),
                class("order", "/orders/1", 15.0, 2_000),
            ],
            bursts: Vec::new(),
            faults: draw.faults,
        }
    }

    /// Leaves out the faults that end later, and shortens the traffic accordingly.
    pub fn with_faults_until(mut self, end: Duration) -> Self {
        self.faults.retain(|it| it.end() <= end);
        self.length = self.length.min(end + Duration::from_millis(RECOVERY_MS));
        self
    }
}

impl OwnershipDraw {
    fn conduct(&mut self) -> TargetConduct {
        let states_start = self.rng.random_bool(0.4);
        let steps_back = states_start && self.rng.random_bool(0.3);
        TargetConduct {
            finishes_requests: true,
            checks_fences: true,
            slow_clock_percent: 2,
            states_start,
            clock_step_back: Duration::from_secs(if steps_back { 60 } else { 0 }),
            ..TargetConduct::default()
        }
    }

    fn vm(&mut self, index: usize, conduct: TargetConduct) -> ScenarioVm {
        let service = match index {
            0 | 1 => "carts",
            2 => "stock",
            _ => *["carts", "carts", "stock"].choose(&mut self.rng).unwrap_or(&"carts"),
        };
        // Long requests outlast the reply that takes their keys away, and at times their lease.
        let service_time_ms = match service == "carts" && self.rng.random_bool(0.5) {
            true => self.rng.random_range(300..1_200),
            false => self.rng.random_range(2..30),
        };
        ScenarioVm {
            service: service.to_owned(),
            data_centre: ["east", "west"].choose(&mut self.rng).unwrap_or(&"east").to_string(),
            slots: 64,
            service_time: Duration::from_millis(service_time_ms),
            conduct,
            crash: CrashPlan::default(),
        }
    }

    fn draw_faults(&mut self) {
        for _ in 0..self.rng.random_range(1..=3) {
            self.losses_in_series();
        }
        for _ in 0..self.rng.random_range(0..=4) {
            let vm = self.rng.random_range(0..self.vm_count);
            self.fault(Kind::TargetReplaced, vm, 0, 1);
        }
        if self.rng.random_bool(0.5) {
            for _ in 0..self.rng.random_range(1..=4) {
                let vm = self.rng.random_range(0..self.vm_count);
                self.fault(Kind::HeartbeatsLate, vm, 3_000, 20_000);
            }
        }
        // In some scenarios only, so that the others show other causes.
        if self.rng.random_bool(0.25) {
            for _ in 0..self.rng.random_range(1..=3) {
                let vm = self.rng.random_range(0..self.vm_count);
                self.fault(Kind::TargetStopped, vm, 1_000, 4_000);
            }
        }
        if self.rng.random_bool(0.6) {
            for _ in 0..self.rng.random_range(1..=4) {
                let kind = [Kind::StoreSilent, Kind::StoreRefuses, Kind::StoreLate];
                let kind = *kind.choose(&mut self.rng).unwrap_or(&Kind::StoreSilent);
                self.fault(kind, 0, 300, 6_000);
            }
        }
        if self.rng.random_bool(0.6) {
            for _ in 0..self.rng.random_range(1..=5) {
                self.fault(Kind::StoreStale, 0, 1_000, 5_000);
                self.fault(Kind::StoreDeaf, 0, 500, 1_500);
            }
        }
        if self.rng.random_bool(0.25) {
            for _ in 0..self.rng.random_range(1..=3) {
                self.fault(Kind::StoreRestored, 0, 200, 3_000);
            }
        }
    }

    /// Losses of one VM, or of two in turn, that follow each other until the end.
    fn losses_in_series(&mut self) {
        let first = self.rng.random_range(0..self.vm_count);
        let second = match self.rng.random_range(0..10) {
            // The node that plans while it reaches the store.
            0..4 => 0,
            4..7 => self.rng.random_range(0..self.vm_count),
            _ => first,
        };
        let is_cut_only = self.rng.random_bool(0.5);
        let mut at_ms = self.rng.random_range(FAULTS_FROM_MS..FAULTS_FROM_MS + 8_000);
        let mut vm = first;
        loop {
            let kind = match self.rng.random_range(0..10) {
                _ if is_cut_only => Kind::NodeCut,
                0..6 => Kind::NodeCut,
                6..8 => Kind::NodeSuspended,
                _ => Kind::NodeKilled,
            };
            let for_ms = match kind {
                Kind::NodeSuspended => self.rng.random_range(3_000..16_000),
                Kind::NodeKilled => self.rng.random_range(100..6_000),
                _ => self.rng.random_range(4_000..20_000),
            };
            if at_ms + for_ms > FAULTS_UNTIL_MS {
                return;
            }
            let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
            self.faults.push(ScenarioFault::new(kind, vm, at, length));
            // Losses of two VMs overlap, those of one follow each other after a short return.
            at_ms += match first == second {
                true => for_ms + self.rng.random_range(300..4_000),
                false => for_ms * self.rng.random_range(40..110) / 100,
            };
            vm = first + second - vm;
        }
    }

    fn fault(&mut self, kind: Kind, vm: usize, min_ms: u64, max_ms: u64) {
        let for_ms = self.rng.random_range(min_ms..max_ms);
        let at_ms = self.rng.random_range(FAULTS_FROM_MS..FAULTS_UNTIL_MS - for_ms);
        let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
        self.faults.push(ScenarioFault::new(kind, vm, at, length));
    }
}
