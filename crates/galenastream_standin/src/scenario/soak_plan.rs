//! Draws the scenarios of the fault soak: overlapping faults of every kind.

use std::time::Duration;

use rand::{
    RngExt, SeedableRng,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    ScenarioBurst, ScenarioFault, ScenarioFaultKind as Kind, ScenarioPlan, ScenarioTraffic,
    ScenarioVm,
};
use crate::{CrashPlan, LimitFields, TargetConduct, VmLink};

/// The duration of the traffic.
const LENGTH: Duration = Duration::from_secs(36);

/// The period in which faults start and end. After it, the deployment has 15 s to recover, and 5 s
/// show whether it has.
const FAULTS_FROM_MS: u64 = 1_000;
const FAULTS_UNTIL_MS: u64 = 16_000;

const MAX_FAULT_MS: u64 = 4_000;

/// How long after its change a config is in force on every node that reaches the store.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_500);

/// The maximum body before and after the config grows.
const SMALL_BODY_BYTES: usize = 65_536;
const LARGE_BODY_BYTES: usize = 3 * 1024 * 1024;

/// The statuses of answers without a signature.
const UNSIGNED_STATUSES: [u16; 7] = [200, 302, 400, 403, 404, 413, 500];

const TARGET_KINDS: [Kind; 7] = [
    Kind::TargetReplaced,
    Kind::TargetSheds,
    Kind::TargetFails,
    Kind::TargetCutsAnswers,
    Kind::TargetMixesAnswers,
    Kind::TargetUnsigned,
    Kind::TargetSlow,
];

const NODE_KINDS: [Kind; 3] = [Kind::NodeKilled, Kind::NodeStopped, Kind::NodeSuspended];

const STORE_KINDS: [Kind; 7] = [
    Kind::StoreRefuses,
    Kind::StoreSilent,
    Kind::StoreLosesAnswers,
    Kind::StoreLate,
    Kind::StoreSlow,
    Kind::StoreForgets,
    Kind::StoreRestored,
];

const LINK_KINDS: [Kind; 5] = [
    Kind::LinkDelayed,
    Kind::LinkReset,
    Kind::LinkCutToServer,
    Kind::LinkCutToClient,
    Kind::LinkSilent,
];

const LINKS: [VmLink; 5] =
    [VmLink::Callers, VmLink::Target, VmLink::Heartbeats, VmLink::Store, VmLink::Peers];

/// Draws the parts of a scenario.
struct SoakDraw {
    rng: StdRng,
    vm_count: usize,
    faults: Vec<ScenarioFault>,
}

impl ScenarioPlan {
    /// Draws a scenario of the fault soak with 4 to `max_vms` VMs. The same seed gives the same
    /// scenario.
    pub fn soak(seed: u64, max_vms: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let vm_count = rng.random_range(4..=max_vms.max(4));
        let mut draw = SoakDraw { rng, vm_count, faults: Vec::new() };
        let vms = draw.vms();
        draw.draw_faults(&vms);
        let bursts = draw.bursts();
        // Above the limit that a node without a config might assume.
        let grown_bytes = draw.rng.random_range(1_100_000..1_600_000);
        let body_bytes = match draw.rng.random_bool(0.5) {
            true => draw.rng.random_range(20_000..60_000),
            false => grown_bytes,
        };
        let mut changes: Vec<Duration> = draw
            .faults
            .iter()
            .filter(|it| it.kind == Kind::ConfigChanged)
            .map(|it| it.at)
            .collect();
        changes.sort();
        let grown_from = changes[0] + CONFIG_APPLY_TIME;
        let class = |name: &str, path: &str, share_percent, deadline_ms| ScenarioTraffic {
            name: name.to_owned(),
            path: path.to_owned(),
            share_percent,
            deadline_ms,
            body_bytes: 0,
            from: Duration::ZERO,
        };
        let traffic = vec![
            class("stock", "/stock/1", 28.0, 600),
            class("cart", "/carts/1", 40.0, 900),
            class("order", "/orders/1", 16.0, 1_500),
            ScenarioTraffic { body_bytes, ..class("upload", "/orders/upload", 4.0, 2_500) },
            ScenarioTraffic { from: grown_from, ..class("added", "/added-1/1", 10.0, 900) },
            ScenarioTraffic {
                from: grown_from,
                body_bytes: grown_bytes,
                ..class("large", "/orders/large", 2.0, 2_500)
            },
        ];
        Self {
            name: "soak".to_owned(),
            length: LENGTH,
            warm_up: Duration::ZERO,
            rate_per_s: draw.rng.random_range(80.0..160.0),
            zipf_exponent: draw.rng.random_range(0.0..0.8),
            shift_interval: Duration::ZERO,
            vms,
            traffic,
            bursts,
            faults: draw.faults,
        }
    }

    /// Returns the limits of the config after a number of changes.
    pub(super) fn limits(&self, config_changes: u32) -> LimitFields {
        let is_large = |it: &ScenarioTraffic| it.from.is_zero() && it.body_bytes > SMALL_BODY_BYTES;
        let max_body_bytes = match config_changes > 0 || self.traffic.iter().any(is_large) {
            true => LARGE_BODY_BYTES,
            false => SMALL_BODY_BYTES,
        };
        LimitFields { max_body_bytes, ..LimitFields::default() }
    }
}

impl SoakDraw {
    fn vms(&mut self) -> Vec<ScenarioVm> {
        let mut vms = Vec::new();
        for index in 0..self.vm_count {
            let service = match index {
                0 | 1 => "carts",
                2 | 3 => "stock",
                _ => *["carts", "stock"].choose(&mut self.rng).unwrap_or(&"stock"),
            };
            let data_centre = *["east", "west", "north"].choose(&mut self.rng).unwrap_or(&"east");
            vms.push(ScenarioVm {
                service: service.to_owned(),
                data_centre: data_centre.to_owned(),
                slots: self.rng.random_range(8..=16),
                service_time: Duration::from_millis(self.rng.random_range(1..=20)),
                conduct: TargetConduct::default(),
                crash: CrashPlan::default(),
            });
        }
        vms
    }

    fn bursts(&mut self) -> Vec<ScenarioBurst> {
        let at = Duration::from_millis(self.rng.random_range(1_000..12_000));
        let length = Duration::from_millis(self.rng.random_range(500..3_000));
        vec![ScenarioBurst { at, length, factor: self.rng.random_range(0.3..3.0) }]
    }

    fn draw_faults(&mut self, vms: &[ScenarioVm]) {
        for _ in 0..self.rng.random_range(1..=3) {
            self.fault(Kind::ConfigChanged, 0);
        }
        for _ in 0..self.rng.random_range(2 * self.vm_count..=4 * self.vm_count) {
            let vm = self.rng.random_range(0..self.vm_count);
            match self.rng.random_range(0..100) {
                0..35 => self.target_fault(vm),
                35..55 => self.fault_of(&NODE_KINDS, vm),
                55..70 => self.fault_of(&STORE_KINDS, 0),
                70..93 => self.fault_of(&LINK_KINDS, vm),
                _ => self.fault_of(&[Kind::LinkEndlessHead, Kind::LinkEndlessBody], vm),
            }
        }
        if self.rng.random_bool(0.4) {
            self.fault_everywhere(vms);
        }
        if self.rng.random_bool(0.4) {
            self.restart_in_series();
        }
    }

    /// One fault of all nodes, or of all targets of a service, at once.
    fn fault_everywhere(&mut self, vms: &[ScenarioVm]) {
        let is_of_nodes = self.rng.random_bool(0.5);
        let service = if self.rng.random_bool(0.5) { "carts" } else { "stock" };
        match is_of_nodes {
            true => self.fault_of(&NODE_KINDS, 0),
            false => self.target_fault(0),
        }
        let Some(first) = self.faults.pop() else {
            return;
        };
        for (vm, plan) in vms.iter().enumerate() {
            if is_of_nodes || plan.service == service {
                self.faults.push(ScenarioFault { vm, ..first.clone() });
            }
        }
    }

    /// Several restarts of one node in quick succession.
    fn restart_in_series(&mut self) {
        let vm = self.rng.random_range(0..self.vm_count);
        let mut at_ms = self.rng.random_range(FAULTS_FROM_MS..FAULTS_UNTIL_MS / 2);
        for _ in 0..self.rng.random_range(2..=4) {
            let for_ms = self.rng.random_range(50..1_000);
            let kind = *NODE_KINDS.choose(&mut self.rng).unwrap_or(&Kind::NodeKilled);
            let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
            self.faults.push(ScenarioFault::new(kind, vm, at, length));
            at_ms += for_ms + self.rng.random_range(50..1_000);
        }
    }

    fn target_fault(&mut self, vm: usize) {
        // A limit is binding only after some seconds, and has to outlast them to be checked.
        if self.rng.random_bool(0.1) {
            let at = self.rng.random_range(FAULTS_FROM_MS..FAULTS_UNTIL_MS / 3);
            let (at, length) = (Duration::from_millis(at), Duration::from_millis(8_000));
            let limit_per_s = self.rng.random_range(1.0..10.0);
            let fault = ScenarioFault::new(Kind::TargetLimited, vm, at, length);
            self.faults.push(ScenarioFault { limit_per_s, ..fault });
            return;
        }
        self.fault_of(&TARGET_KINDS, vm);
    }

    fn fault_of(&mut self, kinds: &[Kind], vm: usize) {
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut self.rng);
        self.fault(kinds[0], vm);
    }

    fn fault(&mut self, kind: Kind, vm: usize) {
        let at_ms = self.rng.random_range(FAULTS_FROM_MS..FAULTS_UNTIL_MS - 200);
        let for_ms = self.rng.random_range(100..MAX_FAULT_MS).min(FAULTS_UNTIL_MS - at_ms);
        let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(for_ms));
        let mut fault = ScenarioFault::new(kind, vm, at, length);
        match kind {
            Kind::TargetUnsigned => fault.status = UNSIGNED_STATUSES.choose(&mut self.rng).copied(),
            Kind::LinkEndlessHead | Kind::LinkEndlessBody => fault.link = Some(VmLink::Target),
            _ if LINK_KINDS.contains(&kind) => fault.link = LINKS.choose(&mut self.rng).copied(),
            _ => {}
        }
        self.faults.push(fault);
    }
}
