//! Measures balance, churn and unavailable time with the planner off and on.
//!
//! `cargo run --release --example planner_balance -p galenastream_ownership`

use galenastream_ownership::PlannerWeights;

#[path = "../tests/planner/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use simulation::{END_S, SHIFT_AT_S, Sample, Setup, simulate};

const SEEDS: u64 = 5;

fn main() {
    println!(
        "Zipf 1.0, the hottest 400 keys shift at {SHIFT_AT_S} s, {SEEDS} seeds, worst seed shown"
    );
    println!(
        "{:>7} {:>7} {:<12} {:>6} {:>8} {:>8} {:>8} {:>8} {:>11} {:>12} {:>10} {:>6} {:>6}",
        "keys",
        "targets",
        "planner",
        "bound",
        "+1 s",
        "+30 s",
        "+120 s",
        "settled",
        "churn%/min",
        "churn% after",
        "unavail ms",
        "moves",
        "slices",
    );
    for keys in [1_000, 100_000] {
        for targets in [12, 64] {
            report(keys, targets, "off", None);
            report(keys, targets, "balance", Some(PlannerWeights::for_balance()));
            report(keys, targets, "availability", Some(PlannerWeights::for_availability()));
        }
    }
}

fn report(keys: usize, targets: usize, name: &str, weights: Option<PlannerWeights>) {
    let runs: Vec<Vec<Sample>> =
        (0..SEEDS).map(|seed| simulate(Setup { seed, keys, targets, weights })).collect();
    let worst = |of: &dyn Fn(&[Sample]) -> f64| {
        runs.iter().map(|it| of(it)).fold(f64::NEG_INFINITY, f64::max)
    };
    let ratio_at = |second: usize| worst(&|run| run[second].max_over_mean);
    let last_minute = END_S - 60..END_S;
    let settled_ratio = worst(&|run| {
        run[last_minute.clone()].iter().map(|it| it.max_over_mean).fold(0.0, f64::max)
    });
    let settled_churn = worst(&|run| run[last_minute.clone()].iter().map(|it| it.churn).sum());
    let after_shift =
        |of: &dyn Fn(&Sample) -> f64| worst(&|run| run[SHIFT_AT_S..END_S].iter().map(of).sum());
    println!(
        "{keys:>7} {targets:>7} {name:<12} {:>6.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>11.3} {:>12.3} {:>10.3} {:>6} {:>6}",
        worst(&|run| run[END_S - 1].best_possible),
        ratio_at(SHIFT_AT_S + 1),
        ratio_at(SHIFT_AT_S + 30),
        ratio_at(SHIFT_AT_S + 120),
        settled_ratio,
        100.0 * settled_churn,
        100.0 * after_shift(&|it| it.churn),
        after_shift(&|it| it.unavailable_ms),
        after_shift(&|it| it.moves as f64),
        worst(&|run| run.iter().map(|it| it.slices).max().unwrap_or(0) as f64),
    );
}
