//! Invalid trees and the exact error messages for them.

use expect_test::{Expect, expect};
use galenastream_settings::SettingsTree;

fn check_refused(toml: &str, expected: &Expect) {
    match SettingsTree::parse("tree.toml", toml) {
        Ok(_) => panic!("the tree was accepted:\n{toml}"),
        Err(errors) => expected.assert_eq(&errors.to_string()),
    }
}

#[test]
fn unknown_field() {
    check_refused(
        "[services.catalogue]\nqueue_per_slott = 3\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.queue_per_slott: unknown field of a service
              allowed: key_ranges, places, queue_per_slot, hold_percent, retry_after_ms, retry_budget_percent, remote_penalty_percent, log_lines_per_s, planner_imbalance_percent, planner_busy_percent, planner_moves_per_round, planner_round_ms
              remedy: write queue_per_slot"#]],
    );
}

#[test]
fn unknown_field_without_a_similar_one() {
    check_refused(
        "[places.west]\nwitness = true\n",
        &expect![[r#"
            tree.toml:2: places.west.witness: unknown field of a place's declaration
              allowed: nothing
              remedy: delete the entry or use an allowed name"#]],
    );
}

#[test]
fn unknown_table() {
    check_refused(
        "[service.catalogue]\nqueue_per_slot = 3\n",
        &expect![[r#"
        tree.toml:1: service: unknown table of the file
          allowed: defaults, places, removed, services
          remedy: write services"#]],
    );
}

#[test]
fn wrong_unit_in_the_name() {
    check_refused(
        "[defaults]\nplanner_round_s = 1\n",
        &expect![[r#"
            tree.toml:2: defaults.planner_round_s: the unit in the name is wrong or missing
              allowed: planner_round_ms
              remedy: write planner_round_ms and convert the value to that unit"#]],
    );
}

#[test]
fn missing_unit_in_the_name() {
    check_refused(
        "[defaults]\nplanner_round = 1\n",
        &expect![[r#"
            tree.toml:2: defaults.planner_round: the unit in the name is wrong or missing
              allowed: planner_round_ms
              remedy: write planner_round_ms and convert the value to that unit"#]],
    );
}

#[test]
fn unit_in_the_value() {
    check_refused(
        "[defaults]\nplanner_round_ms = \"600ms\"\n",
        &expect![[r#"
            tree.toml:2: defaults.planner_round_ms = "600ms": a number without its unit is expected
              allowed: a whole number from 100 to 600000
              remedy: write planner_round_ms = NUMBER; the name tells the unit"#]],
    );
}

#[test]
fn wrong_type() {
    check_refused(
        "[defaults]\nhold_percent = \"yes\"\nplanner_round_ms = 0.6\n",
        &expect![[r#"
            tree.toml:2: defaults.hold_percent = "yes": string instead of a whole number from 0 to 100
              allowed: a whole number from 0 to 100
              remedy: write a value of the allowed kind
            tree.toml:3: defaults.planner_round_ms = 0.6: float instead of a whole number from 100 to 600000
              allowed: a whole number from 100 to 600000
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn table_instead_of_a_value() {
    check_refused(
        "[defaults.queue_per_slot]\nmax = 3\n",
        &expect![[r#"
            tree.toml:1: defaults.queue_per_slot = [defaults.queue_per_slot]: table instead of a whole number from 1 to 1000
              allowed: a whole number from 1 to 1000
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn value_instead_of_a_table() {
    check_refused(
        "services = 3\n",
        &expect![[r#"
        tree.toml:1: services = 3: integer instead of a table like [services]
          allowed: a table like [services]
          remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn limit_of_zero() {
    check_refused(
        "[services.catalogue]\nqueue_per_slot = 0\nlog_lines_per_s = 0\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.queue_per_slot = 0: a limit of zero would refuse everything
              allowed: a whole number from 1 to 1000
              remedy: write a positive limit, or delete the line to inherit one
            tree.toml:3: services.catalogue.log_lines_per_s = 0: a limit of zero would refuse everything
              allowed: a whole number from 1 to 100000
              remedy: write a positive limit, or delete the line to inherit one"#]],
    );
}

#[test]
fn number_out_of_bounds() {
    check_refused(
        "[defaults]\nretry_budget_percent = 101\nqueue_per_slot = -1\nplanner_imbalance_percent = nan\n",
        &expect![[r#"
            tree.toml:2: defaults.retry_budget_percent = 101: the number is out of bounds
              allowed: a whole number from 0 to 100
              remedy: write a number within the bounds
            tree.toml:3: defaults.queue_per_slot = -1: the number is out of bounds
              allowed: a whole number from 1 to 1000
              remedy: write a number within the bounds
            tree.toml:4: defaults.planner_imbalance_percent = nan: float instead of a whole number from 101 to 1000
              allowed: a whole number from 101 to 1000
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn number_beyond_any_integer() {
    check_refused(
        "[defaults]\nqueue_per_slot = 99999999999999999999\n",
        &expect![[r#"
            tree.toml:2: defaults.queue_per_slot = 99999999999999999999: the number is out of bounds
              allowed: a whole number from 1 to 1000
              remedy: write a number within the bounds"#]],
    );
}

#[test]
fn field_at_a_level_that_cannot_set_it() {
    check_refused(
        "[places.west]\n[services.catalogue.places.west]\nplanner_round_ms = 900\n\
         [services.catalogue.key_ranges.hot]\nfirst_key = 3\nqueue_per_slot = 3\n",
        &expect![[r#"
            tree.toml:3: services.catalogue.places.west.planner_round_ms: this field cannot be set for a place
              allowed: at the levels from root to service
              remedy: move the line up to its service
            tree.toml:6: services.catalogue.key_ranges.hot.queue_per_slot: this field cannot be set for a key range
              allowed: at the levels from root to place
              remedy: move the line up to its place"#]],
    );
}

#[test]
fn unknown_place() {
    check_refused(
        "[places.port-louis-1]\n[services.catalogue.places.port-luis-1]\nqueue_per_slot = 3\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.places.port-luis-1: the place is not declared
              allowed: port-louis-1
              remedy: write port-louis-1"#]],
    );
}

#[test]
fn place_when_none_is_declared() {
    check_refused(
        "[services.catalogue.places.west]\n",
        &expect![[r#"
        tree.toml:1: services.catalogue.places.west: the place is not declared
          allowed: none is declared
          remedy: declare it as [places.NAME]"#]],
    );
}

#[test]
fn overlapping_key_ranges() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nfirst_key = 1\nlast_key = 9\n\
         [services.catalogue.key_ranges.b]\nfirst_key = 9\n",
        &expect![[r#"
            tree.toml:4: services.catalogue.key_ranges.b: the key range overlaps "a" of line 1
              allowed: key ranges that do not overlap
              remedy: narrow one of the two, or put their settings into one range"#]],
    );
}

#[test]
fn overlapping_key_ranges_with_a_narrower_one_between() {
    check_refused(
        "[services.catalogue.key_ranges.wide]\nfirst_key = 1\n\
         [services.catalogue.key_ranges.narrow]\nfirst_key = 3\nlast_key = 4\n\
         [services.catalogue.key_ranges.last]\nfirst_key = 30\n",
        &expect![[r#"
            tree.toml:3: services.catalogue.key_ranges.narrow: the key range overlaps "wide" of line 1
              allowed: key ranges that do not overlap
              remedy: narrow one of the two, or put their settings into one range
            tree.toml:6: services.catalogue.key_ranges.last: the key range overlaps "wide" of line 1
              allowed: key ranges that do not overlap
              remedy: narrow one of the two, or put their settings into one range"#]],
    );
}

#[test]
fn key_range_whose_first_key_is_greater_than_its_last() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nfirst_key = 9\nlast_key = 1\n",
        &expect![[r#"
            tree.toml:1: services.catalogue.key_ranges.a: first_key is greater than last_key, so the range is empty
              allowed: a first_key that is not greater than last_key
              remedy: swap the two keys"#]],
    );
}

#[test]
fn key_of_the_wrong_type_or_out_of_bounds() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nfirst_key = \"a\"\n\
         [services.catalogue.key_ranges.b]\nfirst_key = 65536\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.key_ranges.a.first_key = "a": string instead of a key from 0 to 65535
              allowed: a key from 0 to 65535
              remedy: write a value of the allowed kind
            tree.toml:4: services.catalogue.key_ranges.b.first_key = 65536: integer instead of a key from 0 to 65535
              allowed: a key from 0 to 65535
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn key_range_without_bounds() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nretry_after_ms = 5\n",
        &expect![[r#"
            tree.toml:1: services.catalogue.key_ranges.a: the key range needs first_key or last_key or both
              allowed: first_key = NUMBER and last_key = NUMBER, each from 0 to 65535
              remedy: give the range its bounds"#]],
    );
}

#[test]
fn key_range_that_only_a_place_has() {
    check_refused(
        "[places.west]\n[services.catalogue.places.west.key_ranges.hot]\nretry_after_ms = 5\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.places.west.key_ranges.hot: the service has no such key range
              allowed: none is declared
              remedy: declare the range with its bounds as [services.SERVICE.key_ranges.NAME]"#]],
    );
}

#[test]
fn bounds_of_a_key_range_in_a_place() {
    check_refused(
        "[places.west]\n[services.catalogue.key_ranges.hot]\nfirst_key = 3\n\
         [services.catalogue.places.west.key_ranges.hot]\nfirst_key = 2\n",
        &expect![[r#"
            tree.toml:5: services.catalogue.places.west.key_ranges.hot.first_key: unknown field of a key range in a place
              allowed: hold_percent, retry_after_ms
              remedy: delete the entry or use an allowed name"#]],
    );
}

#[test]
fn invalid_name() {
    check_refused(
        "[services.\"cata/logue\"]\n[places.\"\"]\n",
        &expect![[r#"
        tree.toml:1: services.cata/logue: the name is invalid
          allowed: 1 to 63 of the characters a-z, 0-9 and -, the first one a letter
          remedy: rename the entry
        tree.toml:2: places.: the name is invalid
          allowed: 1 to 63 of the characters a-z, 0-9 and -, the first one a letter
          remedy: rename the entry"#]],
    );
}

#[test]
fn removed_entry_that_is_still_present() {
    check_refused(
        "removed = [\"services.booking\"]\n[services.booking]\nqueue_per_slot = 3\n",
        &expect![[r#"
            tree.toml:1: removed: "services.booking" is listed as removed but still present
              allowed: in `removed` only entries that the file no longer has
              remedy: delete the entry itself, or take its name out of `removed`"#]],
    );
}

#[test]
fn removed_is_not_a_list() {
    check_refused(
        "removed = \"services.booking\"\n",
        &expect![[r#"
            tree.toml:1: removed = "services.booking": string instead of a list of entries like ["services.booking.queue_per_slot"]
              allowed: a list of entries like ["services.booking.queue_per_slot"]
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn syntax_errors() {
    check_refused(
        "[defaults\nqueue_per_slot = 3\n[services]\nx = = 3\n",
        &expect![[r#"
            tree.toml:1: not valid TOML: unclosed table, expected `]`
              allowed: a document as described at https://toml.io
              remedy: correct the line
            tree.toml:4: not valid TOML: extra `=`, expected nothing
              allowed: a document as described at https://toml.io
              remedy: correct the line
            tree.toml:4: not valid TOML: unexpected key or value, expected newline, `#`
              allowed: a document as described at https://toml.io
              remedy: correct the line"#]],
    );
}

#[test]
fn duplicate_entry() {
    check_refused(
        "[defaults]\nqueue_per_slot = 3\nqueue_per_slot = 4\n",
        &expect![[r#"
            tree.toml:3: not valid TOML: duplicate key
              allowed: a document as described at https://toml.io
              remedy: correct the line"#]],
    );
}

#[test]
fn file_too_large() {
    let toml = "# padding\n".repeat(200_000);
    check_refused(
        &toml,
        &expect![[r#"
        tree.toml: the file has 2000000 bytes
          allowed: at most 1048576 bytes
          remedy: move what many entries share up to their parent, so that they inherit it"#]],
    );
}

#[test]
fn all_errors_at_once_in_the_order_of_lines() {
    check_refused(
        "[services.catalogue]\nqueue_per_slot = 0\nplaner_round_ms = 600\n\n[defaults]\nplanner_round_s = 1\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.queue_per_slot = 0: a limit of zero would refuse everything
              allowed: a whole number from 1 to 1000
              remedy: write a positive limit, or delete the line to inherit one
            tree.toml:3: services.catalogue.planer_round_ms: unknown field of a service
              allowed: key_ranges, places, queue_per_slot, hold_percent, retry_after_ms, retry_budget_percent, remote_penalty_percent, log_lines_per_s, planner_imbalance_percent, planner_busy_percent, planner_moves_per_round, planner_round_ms
              remedy: write planner_round_ms
            tree.toml:6: defaults.planner_round_s: the unit in the name is wrong or missing
              allowed: planner_round_ms
              remedy: write planner_round_ms and convert the value to that unit"#]],
    );
}

#[test]
fn deeply_nested_value() {
    let toml = format!("x = {}", "[".repeat(100_000));
    assert!(SettingsTree::parse("tree.toml", &toml).is_err());
}
