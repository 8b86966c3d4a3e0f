//! Simulation of key ownership in virtual time. Checks that at most one target holds a key at any
//! time, that fencing tokens increase and that all keys are held again after faults. Each run is
//! determined by its seed.

mod calls;
mod clock_bounds;
mod cold_targets;
mod config_doubt;
mod crashing_deployment;
mod earlier_program;
mod earlier_programs;
mod evacuations;
mod faults;
mod fixtures;
mod healthy_store;
mod hold_evidence;
mod hostile_input;
mod incarnations;
mod injected_bug;
mod invariants;
mod lease_calls;
mod lease_conditions;
mod liveness;
mod malformed_era_row;
mod messages;
mod node_clock;
mod other_processes;
mod other_writers;
mod planner_rounds;
mod probes;
mod quarantine_spread;
mod silent_nodes;
mod simulation;
mod single_node;
mod state_machine;
mod store;
mod store_access;
mod store_call;
mod store_restarts;
mod sync_queries;
mod takeover_time;
mod target;
mod target_steps;
mod unseen_leaves;
mod variation;
mod varied_runs;
mod vm;

use injected_bug::InjectedBug;
use simulation::Simulation;
use variation::Variation;

const SEEDS: u64 = 100;
const FAULTY_MS: u64 = 40_000;
/// The detection of a lost node, the validity of a row, and some seconds for writes and heartbeats.
const TAKEOVER_MS: u64 = 3_500 + 12_000 + 2_000;
/// Longer than the longest fault, the validity of a row and the detection of a lost node together.
const CALM_MS: u64 = 45_000;

fn run(seed: u64, bug: InjectedBug) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, bug);
    simulation.run_for(8_000, false);
    simulation.run_for(FAULTY_MS, true);
    simulation.run_for(CALM_MS, false);
    simulation
}

#[test]
fn at_most_one_target_holds_a_key_under_faults() {
    for seed in 0..SEEDS {
        let simulation = run(seed, InjectedBug::None);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn every_key_is_held_again_after_the_faults() {
    for seed in 0..SEEDS {
        let mut simulation = run(seed, InjectedBug::None);
        simulation.held_samples = 0;
        simulation.run_for(1_000, false);
        let all = 9 * 1_000 / simulation::STEP_MS;
        assert_eq!(simulation.held_samples, all, "seed {seed}");
    }
}

#[test]
fn every_key_is_held_at_all_times_without_faults() {
    let mut simulation = Simulation::new(7, 4, InjectedBug::None);
    simulation.run_for(8_000, false);
    simulation.held_samples = 0;
    simulation.run_for(60_000, false);
    assert_eq!(simulation.held_samples, 9 * 60_000 / simulation::STEP_MS);
}

/// Guards against rows that are seldom confirmed, on which the leases of all other targets depend.
#[test]
fn every_key_is_held_at_all_times_while_readers_have_no_target() {
    for seed in 0..SEEDS / 10 {
        let mut simulation = Simulation::new(seed, 4, InjectedBug::None)
            .with_variations(&[Variation::ReaderRoles, Variation::PromptWrites]);
        simulation.run_for(8_000, false);
        for index in 0..2 {
            simulation.crash_target(index, 10 * TAKEOVER_MS);
        }
        simulation.run_for(TAKEOVER_MS, false);
        simulation.observations.reset_gaps();
        simulation.run_for(60_000, false);
        assert_eq!(simulation.observations.longest_gap_ms, 0, "seed {seed}");
    }
}

/// Guards against leases that lapse between two confirmations where the platform permits short ones.
#[test]
fn every_key_is_held_at_all_times_with_short_leases() {
    let variations = [Variation::ReaderRoles, Variation::ShortLeases, Variation::PromptWrites];
    for seed in 0..SEEDS / 10 {
        let mut simulation =
            Simulation::new(seed, 4, InjectedBug::None).with_variations(&variations);
        simulation.run_for(12_000, false);
        simulation.observations.reset_gaps();
        simulation.run_for(60_000, false);
        assert_eq!(simulation.observations.longest_gap_ms, 0, "seed {seed}");
    }
}

fn assert_detected(bug: InjectedBug, violation: &str) {
    let is_detected = |seed| run(seed, bug).violations.iter().any(|it| it.contains(violation));
    assert!((0..SEEDS).any(is_detected), "no seed detects {bug:?}");
}

/// Loses one VM after the other for longer than a takeover takes.
fn run_with_lost_vms(
    seed: u64,
    lose: impl Fn(&mut Simulation, usize, u64),
    bug: InjectedBug,
) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, bug);
    simulation.run_for(8_000, false);
    for index in 0..3 {
        lose(&mut simulation, index, TAKEOVER_MS + 5_000);
        simulation.run_for(TAKEOVER_MS + 15_000, false);
    }
    simulation
}

#[test]
fn at_most_one_target_holds_a_key_while_vms_are_lost() {
    for seed in 0..SEEDS / 5 {
        for lose in [Simulation::cut_off, Simulation::suspend] {
            let simulation = run_with_lost_vms(seed, lose, InjectedBug::None);
            assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        }
    }
}

/// Each seed detects them, since the target of a suspended node keeps its last lease.
#[test]
fn leases_beyond_the_validity_of_a_row_are_detected() {
    for seed in 0..SEEDS / 5 {
        let simulation = run_with_lost_vms(seed, Simulation::suspend, InjectedBug::LongerLeases);
        let is_detected = simulation.violations.iter().any(|it| it.contains("held twice"));
        assert!(is_detected, "seed {seed}");
    }
}

#[test]
fn constant_fencing_tokens_are_detected() {
    assert_detected(InjectedBug::ConstantFences, "no higher fence");
}

#[test]
fn grants_on_an_uncommitted_change_are_detected() {
    assert_detected(InjectedBug::UncommittedChange, "");
}

#[test]
fn handovers_before_the_release_are_detected() {
    assert_detected(InjectedBug::HandoverBeforeRelease, "held twice");
}

/// Runs with faults while the store goes back to an older copy every few seconds.
fn run_with_restores(seed: u64, bug: InjectedBug) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, bug).with_eras();
    simulation.run_for(8_000, false);
    for gap_ms in [3_000, 1_500, 14_000, 6_000, 16_000] {
        simulation.run_for(gap_ms, true);
        simulation.restore_store();
    }
    simulation.run_for(CALM_MS, false);
    simulation
}

#[test]
fn at_most_one_target_holds_a_key_while_the_store_goes_back() {
    for seed in 0..SEEDS {
        let simulation = run_with_restores(seed, InjectedBug::None);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn every_key_is_held_again_after_the_store_went_back() {
    for seed in 0..SEEDS {
        let mut simulation = run_with_restores(seed, InjectedBug::None);
        simulation.held_samples = 0;
        simulation.run_for(1_000, false);
        assert_eq!(simulation.held_samples, 9 * 1_000 / simulation::STEP_MS, "seed {seed}");
    }
}

/// The longest time for which keys have no holder after the store went back: the age of the last
/// confirmation (a watch of 2 s confirms the instant at which it began), 3% of the validity of a row,
/// the time for which the store is away, the margin for clocks, the slowest write, and two
/// heartbeats.
const MAX_GAP_MS: u64 = 2 * 2_000 + 360 + 2_000 + 500 + 5_000 + 2 * fixtures::HEARTBEAT_MS;

#[test]
fn keys_have_no_holder_for_a_limited_time_after_the_store_went_back() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, 4, InjectedBug::None).with_eras();
        simulation.run_for(8_000, false);
        simulation.held_samples = 0;
        simulation.restore_store();
        simulation.run_for(20_000, false);
        let at_least = 9 * (20_000 - MAX_GAP_MS) / simulation::STEP_MS;
        let held = simulation.held_samples;
        assert!(held >= at_least, "seed {seed}: {held} of {at_least}");
    }
}

#[test]
fn rows_of_a_restored_store_that_are_in_force_at_once_are_detected() {
    let is_detected =
        |seed| !run_with_restores(seed, InjectedBug::RestoredRowsInForce).violations.is_empty();
    assert!((0..SEEDS).any(is_detected));
}
