//! Tests of the comparison of versions and of removals.

use expect_test::{Expect, expect};
use galenastream_settings::{SettingsTree, check_removals, diff};

const OLD: &str = r#"
[defaults]
queue_per_slot = 8

[places.west]
[places.east]

[services.catalogue]
retry_after_ms = 200

[services.catalogue.places.west]
[services.catalogue.places.east]
queue_per_slot = 4

[services.catalogue.key_ranges.hot]
first_key = 100
last_key = 199
retry_after_ms = 400

[services.catalogue-2]
queue_per_slot = 3
"#;

fn parse(toml: &str) -> SettingsTree {
    SettingsTree::parse("tree.toml", toml).expect("the test's tree is valid")
}

fn check_diff(new: &str, expected: &Expect) {
    let mut lines = Vec::new();
    for change in diff(&parse(OLD), &parse(new)) {
        let old = change.old.as_deref().unwrap_or("-");
        let new = change.new.as_deref().unwrap_or("-");
        lines.push(format!("{}: {old} -> {new}", change.path));
    }
    expected.assert_eq(&lines.join("\n"));
}

fn check_missing(new: &str, expected: &Expect) {
    match check_removals(&parse(OLD), &parse(new)) {
        Ok(()) => panic!("the removal was accepted:\n{new}"),
        Err(errors) => expected.assert_eq(&errors.to_string()),
    }
}

#[test]
fn the_same_tree_has_no_differences() {
    check_diff(&format!("# a comment\n{OLD}"), &expect![]);
}

#[test]
fn changed_added_and_missing_entries() {
    let new = OLD
        .replace("queue_per_slot = 8", "queue_per_slot = 9\nhold_percent = 50")
        .replace("first_key = 100", "first_key = 90")
        .replace("[services.catalogue-2]\nqueue_per_slot = 3\n", "[services.booking]\n");
    check_diff(
        &new,
        &expect![[r#"
            defaults.hold_percent: - -> 50
            defaults.queue_per_slot: 8 -> 9
            services.booking: - -> a table
            services.catalogue-2: a table -> -
            services.catalogue-2.queue_per_slot: 3 -> -
            services.catalogue.key_ranges.hot: keys 100 to 199 -> keys 90 to 199"#]],
    );
}

#[test]
fn missing_field() {
    check_missing(
        &OLD.replace("queue_per_slot = 4\n", ""),
        &expect![[r#"
            tree.toml: services.catalogue.places.east.queue_per_slot: the entry is missing without an explicit removal; it was 4 in line 13 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn missing_service_is_one_error() {
    let new = "[defaults]\nqueue_per_slot = 8\n[places.west]\n[places.east]\n[services.catalogue-2]\nqueue_per_slot = 3\n";
    check_missing(
        new,
        &expect![[r#"
            tree.toml: services.catalogue: the entry is missing without an explicit removal; it was a table in line 8 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn missing_key_range_and_place() {
    let new = OLD.replace("[services.catalogue.places.west]\n", "").replace(
        "[services.catalogue.key_ranges.hot]\nfirst_key = 100\nlast_key = 199\nretry_after_ms = 400\n",
        "",
    );
    check_missing(
        &new,
        &expect![[r#"
            tree.toml: services.catalogue.key_ranges.hot: the entry is missing without an explicit removal; it was keys 100 to 199 in line 15 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: services.catalogue.places.west: the entry is missing without an explicit removal; it was a table in line 11 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn everything_missing() {
    check_missing(
        "",
        &expect![[r#"
            tree.toml: defaults.queue_per_slot: the entry is missing without an explicit removal; it was 8 in line 3 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: places.east: the entry is missing without an explicit removal; it was a table in line 6 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: places.west: the entry is missing without an explicit removal; it was a table in line 5 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: services.catalogue: the entry is missing without an explicit removal; it was a table in line 8 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: services.catalogue-2: the entry is missing without an explicit removal; it was a table in line 20 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn listed_removals_are_accepted() {
    let cases = [
        ("services.catalogue-2", OLD.replace("[services.catalogue-2]\nqueue_per_slot = 3\n", "")),
        ("services.catalogue.places.east.queue_per_slot", OLD.replace("queue_per_slot = 4\n", "")),
    ];
    for (removed, new) in cases {
        let new = format!("removed = [\"{removed}\"]\n{new}");
        check_removals(&parse(OLD), &parse(&new)).expect("all removals are listed");
    }
}

#[test]
fn removal_of_one_service_does_not_cover_another_with_a_similar_name() {
    let new = "removed = [\"services.catalogue\"]\n[defaults]\nqueue_per_slot = 8\n[places.west]\n[places.east]\n";
    check_missing(
        new,
        &expect![[r#"
            tree.toml: services.catalogue-2: the entry is missing without an explicit removal; it was a table in line 20 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn the_same_tree_removes_nothing() {
    check_removals(&parse(OLD), &parse(OLD)).expect("nothing is missing");
}
