//! Tests of the example trees in the repository.

use std::{fs, path::Path};

use galenastream_settings::SettingsTree;

fn example(name: &str) -> SettingsTree {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings").join(name);
    let toml = fs::read_to_string(path).expect("the example exists");
    match SettingsTree::parse(name, &toml) {
        Ok(tree) => tree,
        Err(errors) => panic!("{errors}"),
    }
}

#[test]
fn pamplemousses_moves_keys_at_lower_imbalance_than_halvorsen() {
    let pamplemousses = example("pamplemousses.toml");
    let halvorsen = example("halvorsen.toml");
    assert_eq!((pamplemousses.places().len(), halvorsen.places().len()), (4, 3));
    let (one, other) = (pamplemousses.effective("catalogue", "hall-a", None), halvorsen.root());
    assert!(one.planner_imbalance_percent < other.planner_imbalance_percent);
    assert!(one.planner_moves_per_round > other.planner_moves_per_round);
}

#[test]
fn refused_callers_of_popular_clubs_are_told_to_wait_longer() {
    let tree = example("halvorsen.toml");
    let popular = tree.effective("catalog", "pnw-a", Some(10));
    let others = tree.effective("catalog", "pnw-a", Some(60_000));
    assert!(popular.retry_after_ms > others.retry_after_ms);
}
