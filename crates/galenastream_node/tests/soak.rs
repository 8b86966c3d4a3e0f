//! A short run of the fault soak: random faults from outside of real nodes, drawn from fixed seeds.
//! `tools/soak.sh` runs more seeds.

use std::path::Path;

use galenastream_standin::{ScenarioPlan, run_scenario};

/// The most VMs of each deployment; both seeds run at the same time.
const MAX_VMS: usize = 5;

async fn check_seed(seed: u64) {
    let scenario = ScenarioPlan::soak(seed, MAX_VMS);
    let program = Path::new(env!("CARGO_BIN_EXE_galenastreamd"));
    let run = run_scenario(&scenario, program, seed).await.expect("the scenario runs to its end");
    assert_eq!(run.violations, [], "seed {seed}, logs in {:?}\n{}", run.logs, run.summary);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_the_faults_of_seed_3() {
    check_seed(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_the_faults_of_seed_6() {
    check_seed(6).await;
}
