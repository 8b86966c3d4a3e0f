//! Differences between versions, and removals.

use expect_test::{Expect, expect};
use galenastream_settings::{SettingsTree, check_removals, check_update, diff};

const OLD: &str = r#"
[defaults]
slots = 8

[places.west]
[places.east]

[services.catalogue]
retry_after_ms = 200

[services.catalogue.places.west]
[services.catalogue.places.east]
slots = 4

[services.catalogue.key_ranges.hot]
key_prefix = "hot/"
retry_after_ms = 400

[services.catalogue-2]
slots = 3
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

fn check_vanished(new: &str, expected: &Expect) {
    match check_removals(&parse(OLD), &parse(new)) {
        Ok(()) => panic!("the removal was accepted:\n{new}"),
        Err(errors) => expected.assert_eq(&errors.to_string()),
    }
}

#[test]
fn same_tree_has_no_differences() {
    check_diff(&format!("# a comment\n{OLD}"), &expect![]);
}

#[test]
fn changed_added_and_vanished_entries() {
    let new = OLD
        .replace("slots = 8", "slots = 9\ndrain_ms = 5000")
        .replace("hot/", "warm/")
        .replace("[services.catalogue-2]\nslots = 3\n", "[services.booking]\n");
    check_diff(
        &new,
        &expect![[r#"
        defaults.drain_ms: - -> 5000
        defaults.slots: 8 -> 9
        services.booking: - -> a table
        services.catalogue-2: a table -> -
        services.catalogue-2.slots: 3 -> -
        services.catalogue.key_ranges.hot: from "hot/" to before "hot0" -> from "warm/" to before "warm0""#]],
    );
}

#[test]
fn vanished_field() {
    check_vanished(
        &OLD.replace("slots = 4\n", ""),
        &expect![[r#"
            tree.toml: services.catalogue.places.east.slots: the entry is missing without an explicit removal; it was 4 in line 13 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn vanished_service_is_one_error() {
    let new =
        "[defaults]\nslots = 8\n[places.west]\n[places.east]\n[services.catalogue-2]\nslots = 3\n";
    check_vanished(
        new,
        &expect![[r#"
            tree.toml: services.catalogue: the entry is missing without an explicit removal; it was a table in line 8 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn vanished_key_range_and_place() {
    let new = OLD.replace("[services.catalogue.places.west]\n", "").replace(
        "[services.catalogue.key_ranges.hot]\nkey_prefix = \"hot/\"\nretry_after_ms = 400\n",
        "",
    );
    check_vanished(
        &new,
        &expect![[r#"
            tree.toml: services.catalogue.key_ranges.hot: the entry is missing without an explicit removal; it was from "hot/" to before "hot0" in line 15 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file
            tree.toml: services.catalogue.places.west: the entry is missing without an explicit removal; it was a table in line 11 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn everything_vanished() {
    check_vanished(
        "",
        &expect![[r#"
            tree.toml: defaults.slots: the entry is missing without an explicit removal; it was 8 in line 3 of tree.toml
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
            tree.toml: services.catalogue-2: the entry is missing without an explicit removal; it was a table in line 19 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn listed_removals_are_accepted() {
    let cases = [
        ("services.catalogue-2", OLD.replace("[services.catalogue-2]\nslots = 3\n", "")),
        ("services.catalogue.places.east.slots", OLD.replace("slots = 4\n", "")),
    ];
    for (removed, new) in cases {
        let new = format!("removed = [\"{removed}\"]\n{new}");
        check_removals(&parse(OLD), &parse(&new)).expect("the test's tree is valid");
    }
}

#[test]
fn removal_of_one_service_does_not_cover_another_with_a_similar_name() {
    let new =
        "removed = [\"services.catalogue\"]\n[defaults]\nslots = 8\n[places.west]\n[places.east]\n";
    check_vanished(
        new,
        &expect![[r#"
            tree.toml: services.catalogue-2: the entry is missing without an explicit removal; it was a table in line 19 of tree.toml
              allowed: each entry of the version in force, or its name in `removed`
              remedy: put the entry back, or add its name to `removed` at the top of the file"#]],
    );
}

#[test]
fn the_same_tree_removes_nothing() {
    check_removals(&parse(OLD), &parse(OLD)).expect("the test's tree is valid");
}

#[test]
fn fixed_fields_of_a_running_service() {
    let old =
        "[defaults]\nlease_ms = 600\n[services.catalogue]\n[services.booking]\nlease_ms = 900\n";
    let new = "[defaults]\nlease_ms = 500\norder_limit_ms = 2000\n[services.catalogue]\n\
               divided_by_key = false\n[services.booking]\nlease_ms = 900\n[services.fitting]\n";
    let (old, new) = (parse(old), parse(new));
    let errors = check_update(&old, &new, &["booking"]).unwrap_err();
    expect![[r#"
        tree.toml:2: services.catalogue.lease_ms = 500: the value cannot change from 600 while the service runs
          allowed: lease_ms = 600
          remedy: keep the value; or stop every node of the service, apply with `--stopped catalogue`, and start the nodes
        tree.toml:3: services.catalogue.order_limit_ms = 2000: the value cannot change from 1000 while the service runs
          allowed: order_limit_ms = 1000
          remedy: keep the value; or stop every node of the service, apply with `--stopped catalogue`, and start the nodes
        tree.toml:5: services.catalogue.divided_by_key = false: the value cannot change from true while the service runs
          allowed: divided_by_key = true
          remedy: keep the value; or stop every node of the service, apply with `--stopped catalogue`, and start the nodes"#]].assert_eq(&errors.to_string());
    check_update(&old, &new, &["booking", "catalogue"]).unwrap();
}

#[test]
fn service_that_may_run_is_not_removed() {
    let new = OLD.replace("[services.catalogue-2]\nslots = 3\n", "");
    let new = parse(&format!("removed = [\"services.catalogue-2\"]\n{new}"));
    let errors = check_update(&parse(OLD), &new, &["catalogue"]).unwrap_err();
    expect![[r#"
        tree.toml: services.catalogue-2: the service cannot be removed while it runs
          allowed: services of which no node runs
          remedy: stop every node of the service, and apply with `--stopped catalogue-2`"#]]
    .assert_eq(&errors.to_string());
    check_update(&parse(OLD), &new, &["catalogue-2"]).unwrap();
}

#[test]
fn live_fields_may_change() {
    let new = OLD.replace("retry_after_ms = 200", "retry_after_ms = 250\ndrain_ms = 9000");
    check_update(&parse(OLD), &parse(&new), &[]).unwrap();
}
