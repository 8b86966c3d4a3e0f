//! A table of trees that are refused, each with its own message.

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
        "[services.catalogue]\nslotz = 3\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.slotz: unknown field of a service
              allowed: key_ranges, places, divided_by_key, initial_slices, slots, connections, connect_timeout_ms, request_deadline_ms, max_deadline_ms, max_body_bytes, max_key_bytes, queue_limit, queue_wait_ms, classes, default_class, idempotent_methods, retry_budget_percent, retry_after_ms, breaker_failures_in_row, breaker_open_ms, ramp_up_ms, drain_ms, order_limit_ms, lease_ms, beat_ms, promise_ms, promise_beat_ms, store_term_ms, store_timeout_ms, planner_imbalance_percent, planner_unavailable_percent, planner_churn_budget_percent_per_minute, planner_churn_burst_percent, planner_minimum_stay_ms, planner_smoothing_ms, planner_slices_per_member, ticket_kept_ms, ticket_limit
              remedy: write slots"#]],
    );
}

#[test]
fn unknown_field_without_a_similar_one() {
    check_refused(
        "[places.west]\nwitness = true\n",
        &expect![[r#"
        tree.toml:2: places.west.witness: unknown field of a place's declaration
          allowed: region
          remedy: delete the entry or use an allowed name"#]],
    );
}

#[test]
fn unknown_table() {
    check_refused(
        "[service.catalogue]\nslots = 3\n",
        &expect![[r#"
        tree.toml:1: service: unknown table of the file
          allowed: defaults, places, removed, services
          remedy: write services"#]],
    );
}

#[test]
fn wrong_unit_in_the_name() {
    check_refused(
        "[defaults]\nlease_s = 1\n",
        &expect![[r#"
        tree.toml:2: defaults.lease_s: the unit in the name is wrong or missing
          allowed: lease_ms
          remedy: write lease_ms and convert the value to that unit"#]],
    );
}

#[test]
fn missing_unit_in_the_name() {
    check_refused(
        "[defaults]\nqueue_wait = 1\n",
        &expect![[r#"
        tree.toml:2: defaults.queue_wait: the unit in the name is wrong or missing
          allowed: queue_wait_ms
          remedy: write queue_wait_ms and convert the value to that unit"#]],
    );
}

#[test]
fn unit_in_the_value() {
    check_refused(
        "[defaults]\nlease_ms = \"600ms\"\n",
        &expect![[r#"
        tree.toml:2: defaults.lease_ms = "600ms": a number without its unit is expected
          allowed: a whole number from 10 to 600000
          remedy: write lease_ms = NUMBER; the name tells the unit"#]],
    );
}

#[test]
fn wrong_type() {
    check_refused(
        "[defaults]\ndivided_by_key = \"yes\"\nlease_ms = 0.6\n",
        &expect![[r#"
        tree.toml:2: defaults.divided_by_key = "yes": string instead of true or false
          allowed: true or false
          remedy: write a value of the allowed kind
        tree.toml:3: defaults.lease_ms = 0.6: float instead of a whole number from 10 to 600000
          allowed: a whole number from 10 to 600000
          remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn table_instead_of_a_value() {
    check_refused(
        "[defaults.slots]\nmax = 3\n",
        &expect![[r#"
        tree.toml:1: defaults.slots = [defaults.slots]: table instead of a whole number from 1 to 100000
          allowed: a whole number from 1 to 100000
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
        "[services.catalogue]\nslots = 0\nqueue_limit = 0\n",
        &expect![[r#"
        tree.toml:2: services.catalogue.slots = 0: a limit of zero would refuse everything
          allowed: a whole number from 1 to 100000
          remedy: write a positive limit, or delete the line to inherit one
        tree.toml:3: services.catalogue.queue_limit = 0: a limit of zero would refuse everything
          allowed: a whole number from 1 to 100000
          remedy: write a positive limit, or delete the line to inherit one"#]],
    );
}

#[test]
fn number_out_of_bounds() {
    check_refused(
        "[defaults]\nretry_budget_percent = 101\nslots = -1\nplanner_imbalance_percent = nan\n",
        &expect![[r#"
            tree.toml:2: defaults.retry_budget_percent = 101: the number is out of bounds
              allowed: a whole number from 0 to 100
              remedy: write a number within the bounds
            tree.toml:3: defaults.slots = -1: the number is out of bounds
              allowed: a whole number from 1 to 100000
              remedy: write a number within the bounds
            tree.toml:4: defaults.planner_imbalance_percent = nan: float instead of a whole number from 0 to 100
              allowed: a whole number from 0 to 100
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn number_beyond_any_integer() {
    check_refused(
        "[defaults]\nslots = 99999999999999999999\n",
        &expect![[r#"
        tree.toml:2: defaults.slots = 99999999999999999999: the number is out of bounds
          allowed: a whole number from 1 to 100000
          remedy: write a number within the bounds"#]],
    );
}

#[test]
fn lease_shorter_than_three_beats() {
    check_refused(
        "[services.catalogue]\nlease_ms = 300\nbeat_ms = 150\n",
        &expect![[r#"
        tree.toml:2: services.catalogue.lease_ms = 300: lease_ms = 300 is less than 3 times beat_ms = 150
          allowed: lease_ms = 450 or more
          remedy: raise lease_ms or lower beat_ms"#]],
    );
}

#[test]
fn lease_shorter_than_three_inherited_beats() {
    check_refused(
        "[defaults]\nbeat_ms = 190\n\n[services.catalogue]\nlease_ms = 500\n",
        &expect![[r#"
            tree.toml:5: services.catalogue.lease_ms = 500: lease_ms = 500 is less than 3 times beat_ms = 190
              allowed: lease_ms = 570 or more
              remedy: raise lease_ms or lower beat_ms"#]],
    );
}

#[test]
fn beats_too_far_apart_for_the_inherited_lease() {
    check_refused(
        "[services.catalogue]\nbeat_ms = 250\n",
        &expect![[r#"
        tree.toml:2: services.catalogue.beat_ms = 250: lease_ms = 600 is less than 3 times beat_ms = 250
          allowed: lease_ms = 750 or more
          remedy: raise lease_ms or lower beat_ms"#]],
    );
}

#[test]
fn promise_shorter_than_three_promise_beats() {
    check_refused(
        "[defaults]\npromise_ms = 170\n",
        &expect![[r#"
        tree.toml:2: defaults.promise_ms = 170: promise_ms = 170 is less than 3 times promise_beat_ms = 60
          allowed: promise_ms = 180 or more
          remedy: raise promise_ms or lower promise_beat_ms"#]],
    );
}

#[test]
fn promise_not_shorter_than_the_lease() {
    check_refused(
        "[defaults]\npromise_ms = 600\n",
        &expect![[r#"
        tree.toml:2: defaults.promise_ms = 600: promise_ms = 600 is too high for lease_ms = 600
          allowed: promise_ms below 600
          remedy: lower promise_ms or raise lease_ms"#]],
    );
}

#[test]
fn store_term_shorter_than_three_timeouts() {
    check_refused(
        "[defaults]\nstore_term_ms = 1000\n",
        &expect![[r#"
        tree.toml:2: defaults.store_term_ms = 1000: store_term_ms = 1000 is less than 3 times store_timeout_ms = 500
          allowed: store_term_ms = 1500 or more
          remedy: raise store_term_ms or lower store_timeout_ms"#]],
    );
}

#[test]
fn default_deadline_above_the_longest() {
    check_refused(
        "[services.booking]\nmax_deadline_ms = 500\n",
        &expect![[r#"
        tree.toml:2: services.booking.max_deadline_ms = 500: request_deadline_ms = 1000 is too high for max_deadline_ms = 500
          allowed: request_deadline_ms = 500 or less
          remedy: lower request_deadline_ms or raise max_deadline_ms"#]],
    );
}

#[test]
fn wait_for_a_slot_above_the_deadline() {
    check_refused(
        "[services.booking]\nqueue_wait_ms = 1001\n",
        &expect![[r#"
        tree.toml:2: services.booking.queue_wait_ms = 1001: queue_wait_ms = 1001 is too high for request_deadline_ms = 1000
          allowed: queue_wait_ms = 1000 or less
          remedy: lower queue_wait_ms or raise request_deadline_ms"#]],
    );
}

#[test]
fn field_at_a_level_that_cannot_set_it() {
    check_refused(
        "[places.west]\n[services.catalogue.places.west]\nlease_ms = 900\n\
         [services.catalogue.key_ranges.hot]\nkey_prefix = \"hot/\"\nslots = 3\n",
        &expect![[r#"
            tree.toml:3: services.catalogue.places.west.lease_ms: this field cannot be set for a place
              allowed: at the levels from root to service
              remedy: move the line up to its service
            tree.toml:6: services.catalogue.key_ranges.hot.slots: this field cannot be set for a key range
              allowed: at the levels from root to place
              remedy: move the line up to its place"#]],
    );
}

#[test]
fn unknown_place() {
    check_refused(
        "[places.port-louis-1]\n[services.catalogue.places.port-luis-1]\nslots = 3\n",
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
        "[services.catalogue.key_ranges.a]\nfirst_key = \"a\"\nlast_key = \"m\"\n\
         [services.catalogue.key_ranges.b]\nkey_prefix = \"m\"\n",
        &expect![[r#"
            tree.toml:4: services.catalogue.key_ranges.b: the key range overlaps "a" of line 1
              allowed: key ranges without a common key
              remedy: narrow one of the two, or put their settings into one range"#]],
    );
}

#[test]
fn overlapping_key_ranges_where_a_wide_one_hides_behind_a_narrow_one() {
    check_refused(
        "[services.catalogue.key_ranges.wide]\nfirst_key = \"a\"\n\
         [services.catalogue.key_ranges.narrow]\nkey_prefix = \"b\"\n\
         [services.catalogue.key_ranges.last]\nkey_prefix = \"x\"\n",
        &expect![[r#"
            tree.toml:3: services.catalogue.key_ranges.narrow: the key range overlaps "wide" of line 1
              allowed: key ranges without a common key
              remedy: narrow one of the two, or put their settings into one range
            tree.toml:5: services.catalogue.key_ranges.last: the key range overlaps "wide" of line 1
              allowed: key ranges without a common key
              remedy: narrow one of the two, or put their settings into one range"#]],
    );
}

#[test]
fn key_range_whose_first_key_is_behind_its_last() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nfirst_key = \"m\"\nlast_key = \"a\"\n",
        &expect![[r#"
            tree.toml:1: services.catalogue.key_ranges.a: first_key lies behind last_key, so the range is empty
              allowed: a first_key that is not behind last_key
              remedy: swap the two keys"#]],
    );
}

#[test]
fn key_range_without_bounds() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nretry_after_ms = 5\n",
        &expect![[r#"
        tree.toml:1: services.catalogue.key_ranges.a: the key range needs either key_prefix, or first_key or last_key or both
          allowed: key_prefix = "…", or first_key = "…" and last_key = "…"
          remedy: give the range one kind of bounds"#]],
    );
}

#[test]
fn key_range_with_two_kinds_of_bounds() {
    check_refused(
        "[services.catalogue.key_ranges.a]\nkey_prefix = \"a\"\nfirst_key = \"a\"\n",
        &expect![[r#"
            tree.toml:1: services.catalogue.key_ranges.a: the key range needs either key_prefix, or first_key or last_key or both
              allowed: key_prefix = "…", or first_key = "…" and last_key = "…"
              remedy: give the range one kind of bounds"#]],
    );
}

#[test]
fn key_range_of_a_service_without_keys() {
    check_refused(
        "[services.booking]\ndivided_by_key = false\n\
         [services.booking.key_ranges.a]\nkey_prefix = \"a\"\n",
        &expect![[r#"
            tree.toml:3: services.booking.key_ranges.a: the service is not divided by key, so it has no key ranges
              allowed: key ranges where divided_by_key = true
              remedy: delete the key ranges, or set divided_by_key = true for the service"#]],
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
        "[places.west]\n[services.catalogue.key_ranges.hot]\nkey_prefix = \"hot/\"\n\
         [services.catalogue.places.west.key_ranges.hot]\nkey_prefix = \"h\"\n",
        &expect![[r#"
            tree.toml:5: services.catalogue.places.west.key_ranges.hot.key_prefix: unknown field of a key range in a place
              allowed: request_deadline_ms, max_deadline_ms, max_body_bytes, queue_wait_ms, default_class, idempotent_methods, retry_after_ms
              remedy: delete the entry or use an allowed name"#]],
    );
}

#[test]
fn duplicate_class() {
    check_refused(
        "[defaults]\nclasses = [{ name = \"a\", priority = 1 }, { name = \"a\", priority = 2 }]\n\
         default_class = \"a\"\n",
        &expect![[r#"
            tree.toml:2: defaults.classes = [{ name = "a", priority = 1 }, { name = "a", priority = 2 }]: the class "a" is listed twice
              allowed: each class once
              remedy: delete or rename one of the two"#]],
    );
}

#[test]
fn class_with_an_unknown_field() {
    check_refused(
        "[defaults]\nclasses = [{ name = \"standard\", weight = 1 }]\n",
        &expect![[r#"
            tree.toml:2: defaults.classes = [{ name = "standard", weight = 1 }]: another list instead of a list of 1 to 16 classes like { name = "payment", priority = 9 }, priority from 0 to 255
              allowed: a list of 1 to 16 classes like { name = "payment", priority = 9 }, priority from 0 to 255
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn no_classes() {
    check_refused(
        "[defaults]\nclasses = []\n",
        &expect![[r#"
            tree.toml:2: defaults.classes = []: another list instead of a list of 1 to 16 classes like { name = "payment", priority = 9 }, priority from 0 to 255
              allowed: a list of 1 to 16 classes like { name = "payment", priority = 9 }, priority from 0 to 255
              remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn default_class_that_the_service_lacks() {
    check_refused(
        "[services.booking]\nclasses = [{ name = \"payment\", priority = 9 }]\n",
        &expect![[r#"
            tree.toml:2: services.booking.classes = [{ name = "payment", priority = 9 }]: the class is not one of the service's classes
              allowed: payment
              remedy: set default_class to one of the classes, or add the class"#]],
    );
}

#[test]
fn method_in_small_letters() {
    check_refused(
        "[defaults]\nidempotent_methods = [\"get\"]\n",
        &expect![[r#"
        tree.toml:2: defaults.idempotent_methods = ["get"]: "get" is not an HTTP method
          allowed: a list of HTTP methods like ["GET", "HEAD"]
          remedy: write the method in capital letters"#]],
    );
}

#[test]
fn names_with_the_same_id() {
    check_refused(
        "[services.service-4524]\n[services.service-198171]\n",
        &expect![[r#"
            tree.toml:2: services.service-198171: the name has the same id as "service-4524"
              allowed: names with different ids
              remedy: rename one of the two"#]],
    );
}

#[test]
fn unusable_name() {
    check_refused(
        "[services.\"cata/logue\"]\n[places.\"\"]\n",
        &expect![[r#"
        tree.toml:1: services.cata/logue: the name is not usable
          allowed: 1 to 63 of the characters a-z, 0-9 and -, the first one a letter
          remedy: rename the entry
        tree.toml:2: places.: the name is not usable
          allowed: 1 to 63 of the characters a-z, 0-9 and -, the first one a letter
          remedy: rename the entry"#]],
    );
}

#[test]
fn removed_entry_that_is_still_present() {
    check_refused(
        "removed = [\"services.booking\"]\n[services.booking]\nslots = 3\n",
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
        tree.toml:1: removed = "services.booking": string instead of a list of entries like ["services.booking.slots"]
          allowed: a list of entries like ["services.booking.slots"]
          remedy: write a value of the allowed kind"#]],
    );
}

#[test]
fn syntax_errors() {
    check_refused(
        "[defaults\nslots = 3\n[services]\nx = = 3\n",
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
fn entry_that_stands_twice() {
    check_refused(
        "[defaults]\nslots = 3\nslots = 4\n",
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
        "[services.catalogue]\nslots = 0\nleese_ms = 600\n\n[defaults]\nlease_s = 1\n",
        &expect![[r#"
            tree.toml:2: services.catalogue.slots = 0: a limit of zero would refuse everything
              allowed: a whole number from 1 to 100000
              remedy: write a positive limit, or delete the line to inherit one
            tree.toml:3: services.catalogue.leese_ms: unknown field of a service
              allowed: key_ranges, places, divided_by_key, initial_slices, slots, connections, connect_timeout_ms, request_deadline_ms, max_deadline_ms, max_body_bytes, max_key_bytes, queue_limit, queue_wait_ms, classes, default_class, idempotent_methods, retry_budget_percent, retry_after_ms, breaker_failures_in_row, breaker_open_ms, ramp_up_ms, drain_ms, order_limit_ms, lease_ms, beat_ms, promise_ms, promise_beat_ms, store_term_ms, store_timeout_ms, planner_imbalance_percent, planner_unavailable_percent, planner_churn_budget_percent_per_minute, planner_churn_burst_percent, planner_minimum_stay_ms, planner_smoothing_ms, planner_slices_per_member, ticket_kept_ms, ticket_limit
              remedy: write lease_ms
            tree.toml:6: defaults.lease_s: the unit in the name is wrong or missing
              allowed: lease_ms
              remedy: write lease_ms and convert the value to that unit"#]],
    );
}

#[test]
fn deeply_nested_value() {
    let toml = format!("x = {}", "[".repeat(100_000));
    assert!(SettingsTree::parse("tree.toml", &toml).is_err());
}
