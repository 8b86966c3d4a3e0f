//! Draws scenarios of the fault soak with requests that crash their targets.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{ScenarioFault, ScenarioFaultKind as Kind, ScenarioPlan, ScenarioTraffic, ScenarioVm};
use crate::{CrashPlan, TargetConduct, VmLink};

/// From when requests crash their targets.
const CRASHES_FROM_MS: u64 = 1_000;

/// The period in which faults start and end.
const FAULTS_FROM_MS: u64 = 1_500;
const FAULTS_UNTIL_MS: u64 = 20_000;

/// From when all nodes may end at once: the crashes before it are in the store.
const RESTARTS_FROM_MS: u64 = 10_000;

/// How long the traffic goes on after the faults: 15 s to recover, and 5 s that show whether the
/// deployment has.
const RECOVERY_MS: u64 = 20_000;

const NODE_KINDS: [Kind; 4] =
    [Kind::NodeKilled, Kind::NodeStopped, Kind::NodeSuspended, Kind::NodeCut];

const LINK_KINDS: [Kind; 3] = [Kind::LinkDelayed, Kind::LinkReset, Kind::LinkSilent];

/// Draws the parts of a scenario.
struct CrashDraw {
    rng: StdRng,
    vm_count: usize,
    faults: Vec<ScenarioFault>,
}

impl ScenarioPlan {
    /// Draws a scenario with 4 to `max_vms` VMs in which callers repeat requests that crash their
    /// targets, beside faults of nodes, links and the store. What the nodes know of the requests always
    /// lasts somewhere: the store serves, or one node is left alone. The same seed gives the same
    /// scenario.
    pub fn crash_soak(seed: u64, max_vms: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let vm_count = rng.random_range(4..=max_vms.clamp(4, 8));
        let mut draw = CrashDraw { rng, vm_count, faults: Vec::new() };
        let vms = (0..vm_count).map(|it| draw.vm(it)).collect();
        draw.draw_faults();
        Self {
            name: "crashes".to_owned(),
            length: Duration::from_millis(FAULTS_UNTIL_MS + RECOVERY_MS),
            warm_up: Duration::ZERO,
            rate_per_s: draw.rng.random_range(60.0..120.0),
            zipf_exponent: 0.0,
            shift_interval: Duration::ZERO,
            vms,
            traffic: draw.traffic(),
            bursts: Vec::new(),
            faults: draw.faults,
        }
    }

    /// Returns whether the requests of a class crash their targets.
    pub(super) fn is_crashing(&self, class: usize) -> bool {
        crate::crashes_targets(&self.traffic[class].path)
    }
}

impl CrashDraw {
    fn vm(&mut self, index: usize) -> ScenarioVm {
        let service = match index {
            0 | 2 | 3 => "stock",
            1 => "carts",
            _ => *["stock", "carts"].choose(&mut self.rng).unwrap_or(&"stock"),
        };
        ScenarioVm {
            service: service.to_owned(),
            data_centre: ["east", "west"].choose(&mut self.rng).unwrap_or(&"east").to_string(),
            slots: 32,
            service_time: Duration::from_millis(self.rng.random_range(1..100)),
            conduct: TargetConduct::default(),
            crash: CrashPlan {
                run_time: Duration::from_millis(self.rng.random_range(5..150)),
                restart_delay: Duration::from_millis(self.rng.random_range(500..3_000)),
            },
        }
    }

    /// One or two requests that crash their targets, beside ordinary ones.
    fn traffic(&mut self) -> Vec<ScenarioTraffic> {
        let class = |name: &str, path: &str, share_percent| ScenarioTraffic {
            name: name.to_owned(),
            path: path.to_owned(),
            share_percent,
            deadline_ms: 1_500,
            body_bytes: 0,
            from: Duration::ZERO,
        };
        let paths = ["/stock/crash-1", "/orders/crash-1"];
        let path = *paths.choose(&mut self.rng).unwrap_or(&paths[0]);
        let from = Duration::from_millis(CRASHES_FROM_MS);
        let mut traffic = vec![
            class("stock", "/stock/1", 45.0),
            class("cart", "/carts/1", 25.0),
            class("order", "/orders/1", 20.0),
            ScenarioTraffic { from, ..class("crash", path, 6.0) },
        ];
        let path = if self.rng.random_bool(0.5) { "/carts/crash-2" } else { "/stock/crash-2" };
        let from = Duration::from_millis(self.rng.random_range(CRASHES_FROM_MS..FAULTS_UNTIL_MS));
        traffic.push(ScenarioTraffic { from, ..class("crash-2", path, 4.0) });
        traffic
    }

    fn draw_faults(&mut self) {
        let is_store_down = self.rng.random_bool(0.6);
        // Without a store, the first VM keeps what the others may forget.
        let first_vm = usize::from(is_store_down);
        for _ in 0..self.rng.random_range(3..=8) {
            let vm = self.rng.random_range(first_vm..self.vm_count);
            let kind = *NODE_KINDS.choose(&mut self.rng).unwrap_or(&Kind::NodeKilled);
            self.fault(kind, vm, 200, 5_000);
        }
        for _ in 0..self.rng.random_range(0..=3) {
            let vm = self.rng.random_range(first_vm..self.vm_count);
            let kind = *LINK_KINDS.choose(&mut self.rng).unwrap_or(&Kind::LinkSilent);
            self.fault(kind, vm, 200, 3_000);
            let links = [VmLink::Peers, VmLink::Callers, VmLink::Store];
            if let Some(fault) = self.faults.last_mut() {
                fault.link = links.choose(&mut self.rng).copied();
            }
        }
        for _ in 0..self.rng.random_range(0..=4) {
            let vm = self.rng.random_range(0..self.vm_count);
            self.fault(Kind::TargetReplaced, vm, 0, 1);
        }
        if is_store_down {
            let kind =
                if self.rng.random_bool(0.7) { Kind::StoreSilent } else { Kind::StoreRefuses };
            self.fault(kind, 0, 5_000, FAULTS_UNTIL_MS - FAULTS_FROM_MS);
        } else if self.rng.random_bool(0.6) {
            let at = self.rng.random_range(RESTARTS_FROM_MS..FAULTS_UNTIL_MS - 3_000);
            for vm in 0..self.vm_count {
                let length = Duration::from_millis(self.rng.random_range(100..2_000));
                let at = Duration::from_millis(at);
                self.faults.push(ScenarioFault::new(Kind::NodeKilled, vm, at, length));
            }
        }
    }

    fn fault(&mut self, kind: Kind, vm: usize, min_ms: u64, max_ms: u64) {
        let for_ms = self.rng.random_range(min_ms..max_ms);
        let at_ms = self.rng.random_range(FAULTS_FROM_MS..=FAULTS_UNTIL_MS - for_ms);
        let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
        self.faults.push(ScenarioFault::new(kind, vm, at, length));
    }
}
