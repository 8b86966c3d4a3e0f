//! End-to-end test with real nodes and faults of targets, nodes and the store. Callers and targets
//! record what they see, and the records are checked against the guarantees of the router.

use std::path::Path;

use galenastream_standin::{LoadOutcome, ScenarioPlan, run_scenario};

#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_is_breached_while_targets_nodes_and_the_store_fail() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/days/losses.toml");
    let day = ScenarioPlan::load(&file).unwrap();
    let run = run_scenario(&day, Path::new(env!("CARGO_BIN_EXE_galenastreamd")), 1).await.unwrap();
    assert_eq!(run.violations, [], "{}", run.summary);
    // One of five targets is replaced, one node is killed and one is stopped. At least 70 % of the
    // requests have to run nevertheless.
    let ran = run.summary.count(LoadOutcome::Ran);
    assert!(ran * 10 >= run.summary.total() * 7, "{}", run.summary);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_limits_hold_while_nodes_are_killed_stopped_and_suspended() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/days/limits.toml");
    let day = ScenarioPlan::load(&file).unwrap();
    let run = run_scenario(&day, Path::new(env!("CARGO_BIN_EXE_galenastreamd")), 1).await.unwrap();
    assert_eq!(run.violations, [], "{}", run.summary);
    // Half of the owners of keys take a small part of their requests, and nodes are down.
    let ran = run.summary.count(LoadOutcome::Ran);
    assert!(ran * 2 >= run.summary.total(), "{}", run.summary);
}
