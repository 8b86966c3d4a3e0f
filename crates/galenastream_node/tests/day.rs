//! A short day of faults with real nodes, judged by what callers and targets saw.

use std::path::Path;

use galenastream_standin::{LoadOutcome, ScenarioPlan, run_scenario};

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_breached_while_targets_nodes_and_the_store_fail() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/days/losses.toml");
    let day = ScenarioPlan::load(&file).unwrap();
    let run = run_scenario(&day, Path::new(env!("CARGO_BIN_EXE_galenastreamd")), 1).await.unwrap();
    assert_eq!(run.violations, [], "{}", run.summary);
    // Of five targets one is replaced and two nodes go; most callers do not notice.
    let ran = run.summary.count(LoadOutcome::Ran);
    assert!(ran * 10 >= run.summary.total() * 7, "{}", run.summary);
}
