//! Checks for how long the keys of a crashed target have no holder.

use crate::{
    fixtures::HEARTBEAT_MS, injected_bug::InjectedBug, simulation::Simulation, variation::Variation,
};

/// For how long keys have no holder after the crash of a target while nothing else is wrong.
fn takeover_ms(seed: u64) -> u64 {
    let vm_count = 3 + (seed % 3) as usize;
    let mut simulation = Simulation::new(seed, vm_count, InjectedBug::None)
        .with_variations(&[Variation::PromptWrites, Variation::ReaderRoles]);
    simulation.run_for(8_000 + seed * 137 % 1_000, false);
    simulation.observations.reset_gaps();
    let crashed = (seed / 3) as usize % vm_count;
    simulation.crash_target(crashed, 60_000);
    simulation.run_for(12_000, false);
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    simulation.observations.longest_gap_ms
}

#[test]
#[ignore = "prints the distribution; run by hand"]
fn print_takeover_times() {
    let mut times: Vec<u64> = (0..100).map(takeover_ms).collect();
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() / times.len() as u64;
    println!(
        "mean {mean} ms, median {} ms, max {} ms",
        times[times.len() / 2],
        times[times.len() - 1]
    );
    println!("heartbeat {HEARTBEAT_MS}: {times:?}");
}
