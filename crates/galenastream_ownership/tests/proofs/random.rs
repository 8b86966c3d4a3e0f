//! Random scripts of faults: every property at every step.

use crate::support::{Focus, in_parallel, play_seed};

/// Seeds of one run in CI; `GALENASTREAM_SEEDS=first..end` sets others.
const SEEDS: std::ops::Range<usize> = 0..50;

fn seeds() -> std::ops::Range<usize> {
    let Ok(range) = std::env::var("GALENASTREAM_SEEDS") else { return SEEDS };
    let (first, end) = range.split_once("..").expect("GALENASTREAM_SEEDS is first..end");
    let number = |it: &str| it.parse().expect("a seed is a number");
    number(first)..number(end)
}

fn play_seeds(focus: Focus) {
    let seeds = seeds();
    let failures = in_parallel(seeds.len(), |it| play_seed(focus, (seeds.start + it) as u64).err());
    assert!(failures.is_empty(), "{} seeds failed\n{}", failures.len(), failures.join("\n\n"));
}

#[test]
fn random_faults() {
    play_seeds(Focus::Anything);
}

#[test]
fn many_random_faults() {
    play_seeds(Focus::Many);
}

#[test]
fn random_faults_around_deputies() {
    play_seeds(Focus::Deputies);
}

#[test]
fn random_faults_around_a_change_of_witnesses() {
    play_seeds(Focus::WitnessChange);
}

#[test]
fn random_faults_in_a_cell_on_the_store_alone() {
    play_seeds(Focus::StoreAlone);
}
