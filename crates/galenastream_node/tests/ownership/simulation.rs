//! A deployment in virtual time: nodes, targets, the store and injected faults.

use galenastream_adapter::LeaseDelivery;
use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_utils::BootInstant;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    calls::Call,
    faults::Series,
    fixtures::{address, settings_at_start, settings_with_bound},
    injected_bug::{FirstSights, InjectedBug},
    invariants::Observations,
    messages::{Message, PeerQuery},
    node_clock::NodeClock,
    probes::Probe,
    store::{Store, Write, WriteContent},
    target::Target,
    variation::Variation,
    vm::Vm,
};

pub const STEP_MS: u64 = 10;

/// The longest lease of a platform that permits only short ones. A target renews its leases each
/// 1.6 s: the interval between its heartbeats, and the delay of a reply.
const SHORT_LEASE_MS: u64 = 4_000;

pub struct Simulation {
    pub rng: StdRng,
    /// Draws what variations play, so that these do not change the draws of other runs.
    pub varied_rng: StdRng,
    pub now_ms: u64,
    pub vms: Vec<Vm>,
    pub store: Store,
    pub writes: Vec<Write>,
    pub bug: InjectedBug,
    pub first_sights: FirstSights,
    /// Whether the last faults were injected, so that variations end as well.
    pub are_faults_over: bool,
    has_had_faults: bool,
    pub variations: Vec<Variation>,
    pub series: Vec<Series>,
    /// Until when new programs write assignments that old ones cannot decode.
    pub unreadable_until_ms: u64,
    pub messages: Vec<Message>,
    pub queries: Vec<PeerQuery>,
    pub probes: Vec<Probe>,
    pub calls: Vec<Call>,
    pub delivery: LeaseDelivery,
    pub config_version: u64,
    pub observations: Observations,
    pub violations: Vec<String>,
    pub held_samples: u64,
}

pub fn at(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

impl Simulation {
    pub fn new(seed: u64, vm_count: usize, bug: InjectedBug) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut vms = Vec::new();
        for index in 0..vm_count {
            let starts_at_ms = 1_000 + rng.random_range(0..300);
            let id = format!("t-{index}-0");
            let target =
                Target::new(id, address(index), rng.random_range(0..=2), starts_at_ms + 50);
            vms.push(Vm::new(target, starts_at_ms));
        }
        Self {
            rng,
            varied_rng: StdRng::seed_from_u64(!seed),
            now_ms: 1_000,
            vms,
            store: Store::new(0),
            writes: Vec::new(),
            bug,
            first_sights: FirstSights::default(),
            are_faults_over: false,
            has_had_faults: false,
            variations: Vec::new(),
            series: Vec::new(),
            unreadable_until_ms: 0,
            messages: Vec::new(),
            queries: Vec::new(),
            probes: Vec::new(),
            calls: Vec::new(),
            delivery: LeaseDelivery::Heartbeats,
            config_version: 1,
            observations: Observations::default(),
            violations: Vec::new(),
            held_samples: 0,
        }
    }

    /// Lets the store name eras, so that [`restore_store`](Self::restore_store) may be called.
    pub fn with_eras(self) -> Self {
        Self { store: Store::new(1), ..self }
    }

    pub fn with_variations(self, variations: &[Variation]) -> Self {
        let mut simulation = Self { variations: variations.to_vec(), ..self };
        let varies = |it: Variation| variations.contains(&it);
        if varies(Variation::Calls) || varies(Variation::LateCalls) {
            simulation.delivery = LeaseDelivery::Calls;
        }
        let rng = &mut simulation.varied_rng;
        for vm in &mut simulation.vms {
            if varies(Variation::DriftingClocks) {
                let offset_ms = rng.random_range(0..1_000_000);
                vm.clock = NodeClock { offset_ms, drift_per_10_000: rng.random_range(-100..=100) };
            }
            if varies(Variation::TimeOfDay) {
                vm.wall_offset_ms += rng.random_range(0..20_000);
                vm.target.born_ms = Some(vm.wall_offset_ms + vm.target.starts_at_ms);
            }
            if varies(Variation::UnreadableRows) {
                vm.is_old_program = rng.random_range(0..2) == 0;
            }
            vm.target.ends_work_with_lease = varies(Variation::LongWork);
            vm.target.reports_keys = simulation.delivery == LeaseDelivery::Heartbeats
                || varies(Variation::ChangedDelivery);
        }
        simulation
    }

    pub fn varies(&self, variation: Variation) -> bool {
        self.variations.contains(&variation)
    }

    /// Whether calls, messages and probes are played one by one.
    pub fn is_varied(&self) -> bool {
        !self.variations.is_empty()
    }

    /// Runs the simulation for a time. With faults, about one per second is injected, or a series.
    pub fn run_for(&mut self, for_ms: u64, with_faults: bool) {
        let end_ms = self.now_ms + for_ms;
        self.has_had_faults |= with_faults;
        self.are_faults_over = self.has_had_faults && !with_faults;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            if with_faults {
                self.inject_faults();
            }
            self.complete_writes();
            self.make_readable();
            self.rewrite_by_earlier_program();
            self.answer_queries();
            for index in 0..self.vms.len() {
                self.step_vm(index);
            }
            self.check_invariants();
        }
    }

    fn step_vm(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if self.vms[index].state.is_none() && now_ms >= self.vms[index].starts_at_ms {
            self.start_node(index);
        }
        self.step_target(index);
        self.step_calls(index);
        self.step_store_call(index);
        if !self.vms[index].is_running(now_ms) {
            return;
        }
        for heartbeat in std::mem::take(&mut self.vms[index].delayed_heartbeats) {
            self.send_event(index, heartbeat);
        }
        self.deliver_late_heartbeats(index);
        if !self.is_varied() {
            self.send_rows(index);
        }
        self.deliver_messages(index);
        self.step_probes(index);
        self.send_status(index);
        let now = self.vms[index].at(now_ms);
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.tick(now);
        self.execute(index, effects);
    }

    fn start_node(&mut self, index: usize) {
        if self.varies(Variation::DifferentBounds) {
            let bounds_ms = [10_000, 4_000];
            self.vms[index].max_lease_ms = bounds_ms[self.varied_rng.random_range(0..2)];
        }
        if self.varies(Variation::ShortLeases) {
            self.vms[index].max_lease_ms = SHORT_LEASE_MS;
        }
        let vm = &mut self.vms[index];
        let settings = settings_with_bound(index, vm.max_lease_ms);
        let settings = settings_at_start(settings, self.now_ms);
        vm.state = Some(ControlState::new(settings, vm.at(self.now_ms)));
        vm.rows_sent_version = 0;
        vm.rows_sent_at_ms = 0;
        self.send_config(index);
    }

    pub fn send_event(&mut self, index: usize, event: ControlEvent) {
        let now = self.vms[index].at(self.now_ms);
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let effects = state.handle(event, now);
        self.execute(index, effects);
    }

    fn execute(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit { expected_version, assignment, expected_era_version, .. } => {
                    self.start_assignment(
                        index,
                        expected_version,
                        assignment,
                        expected_era_version,
                    );
                }
                Effect::Settle { expected, writes } => {
                    self.start_write(index, expected, WriteContent::Settlement(writes));
                }
                // No request crashes a target here, and no target leaves.
                Effect::AnnounceNode
                | Effect::WriteQuarantine { .. }
                | Effect::WriteLeave { .. } => {}
                Effect::CallTarget { target, call, .. } => self.call_target(index, target, call),
                Effect::QueryPeer { node } => self.query_peer(index, &node),
                Effect::ProbeTarget { target } => self.start_probe(index, target),
                Effect::IdentifyTarget { target, .. } => self.identify(index, target),
                Effect::CheckHealth { .. } => self.check_health(index),
            }
        }
    }
}
