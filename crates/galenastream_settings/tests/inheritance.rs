//! Tests of the settings of requests: inheritance, key ranges and origins of values.

use expect_test::{Expect, expect};
use galenastream_settings::{FIELDS, FieldId, FieldKind, KeyBounds, SettingsTree};
use proptest::prelude::*;

const TREE: &str = r#"
[defaults]
queue_per_slot = 8
retry_after_ms = 100

[places.west]
[places.east]
[places.north]

[services.catalogue]
retry_after_ms = 200

[services.catalogue.places.east]
retry_after_ms = 300
queue_per_slot = 4

[services.catalogue.places.north]

[services.catalogue.key_ranges.hot]
first_key = 100
last_key = 199
retry_after_ms = 400

[services.catalogue.key_ranges.tail]
first_key = 1000
last_key = 1001

[services.catalogue.places.east.key_ranges.hot]
retry_after_ms = 500

[services.booking]
planner_round_ms = 900
"#;

fn tree() -> SettingsTree {
    SettingsTree::parse("tree.toml", TREE).expect("the test's tree is valid")
}

fn retry_after_ms(service: &str, place: &str, key: u16) -> u32 {
    tree().effective(service, place, Some(key)).retry_after_ms
}

#[test]
fn each_level_inherits_unless_it_overrides() {
    let cases = [
        ("booking", "east", 150, 100),
        ("catalogue", "west", 5, 200),
        ("catalogue", "north", 5, 200),
        ("catalogue", "nowhere", 5, 200),
        ("catalogue", "east", 5, 300),
        ("catalogue", "west", 150, 400),
        ("catalogue", "north", 150, 400),
        ("catalogue", "east", 150, 500),
        ("catalogue", "east", 100, 500),
        ("catalogue", "east", 199, 500),
        ("catalogue", "east", 200, 300),
        ("catalogue", "east", 1_000, 300),
        ("unknown", "east", 150, 100),
    ];
    for (service, place, key, expected) in cases {
        assert_eq!(retry_after_ms(service, place, key), expected, "{service} {place} {key}");
    }
}

#[test]
fn values_are_explained_by_the_level_that_set_them() {
    check_explained(
        Some("east"),
        Some(150),
        &expect![[r#"
            queue_per_slot = 4 (place, services.catalogue.places.east, line Some(15))
            retry_after_ms = 500 (key range, services.catalogue.places.east.key_ranges.hot, line Some(29))
            planner_round_ms = 1000 (built-in, built-in, line None)"#]],
    );
    check_explained(
        None,
        None,
        &expect![[r#"
            queue_per_slot = 8 (root, defaults, line Some(3))
            retry_after_ms = 200 (service, services.catalogue, line Some(11))
            planner_round_ms = 1000 (built-in, built-in, line None)"#]],
    );
}

fn check_explained(place: Option<&str>, key: Option<u16>, expected: &Expect) {
    let tree = tree();
    let explained = tree.explain("catalogue", place, key).expect("the service exists");
    let mut lines = Vec::new();
    for field in explained {
        if !["queue_per_slot", "retry_after_ms", "planner_round_ms"].contains(&field.field) {
            continue;
        }
        lines.push(format!(
            "{} = {} ({}, {}, line {:?})",
            field.field, field.value, field.level, field.origin, field.line
        ));
    }
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn table_of_fields_agrees_with_the_resolved_settings() {
    let tree = SettingsTree::parse("empty.toml", "").expect("the test's tree is valid");
    let resolved = toml::Table::try_from(tree.root()).expect("settings form a table");
    let mut in_table: Vec<&str> = FIELDS.iter().map(|spec| spec.name).collect();
    let mut in_struct: Vec<&str> = resolved.keys().map(String::as_str).collect();
    in_table.sort_unstable();
    in_struct.sort_unstable();
    assert_eq!(in_table, in_struct);
    for spec in FIELDS {
        assert_eq!(FieldId::find(spec.name).expect("the field exists").spec(), spec);
    }
}

#[test]
fn built_in_defaults_pass_the_checks_of_files() {
    let mut toml = String::from("[defaults]\n");
    for spec in FIELDS {
        toml.push_str(&format!("{} = {}\n", spec.name, spec.default));
    }
    let written = SettingsTree::parse("defaults.toml", &toml).expect("the test's tree is valid");
    let empty = SettingsTree::parse("empty.toml", "").expect("the test's tree is valid");
    assert_eq!(written.root(), empty.root());
}

proptest! {
    #[test]
    fn explanation_agrees_with_the_settings_in_force(
        service in "catalogue|booking",
        place in "west|east|north|nowhere",
        key in 90_u16..1_010,
    ) {
        let tree = tree();
        let effective = tree.effective(&service, &place, Some(key));
        let effective = toml::Table::try_from(effective).unwrap();
        for field in tree.explain(&service, Some(&place), Some(key)).unwrap() {
            prop_assert_eq!(effective[field.field].to_string(), field.value);
        }
    }

    #[test]
    fn overlap_means_a_common_key(one in bounds(), other in bounds()) {
        let has_common = (0..20).any(|key| one.contains(key) && other.contains(key));
        prop_assert_eq!(one.overlaps(other), has_common);
        prop_assert_eq!(other.overlaps(one), has_common);
    }

    #[test]
    fn any_text_is_parsed_or_refused_without_a_panic(text in "[\\[\\]a-z_.=\"0-9\n ]{0,200}") {
        let _ = SettingsTree::parse("any.toml", &text);
    }
}

fn bounds() -> impl Strategy<Value = KeyBounds> {
    (0_u16..20, 0_u16..20)
        .prop_map(|(first, last)| KeyBounds::new(Some(first), Some(last)))
        .prop_filter("empty ranges are refused", |bounds| !bounds.is_empty())
}

/// Checks that both bounds of each field are accepted and fit the field's type in
/// `EffectiveSettings`.
#[test]
fn bounds_of_each_field_fit_its_type() {
    for spec in FIELDS {
        let FieldKind::Integer { min, max } = spec.kind;
        for bound in [min, max] {
            let toml = format!("[defaults]\n{} = {bound}\n", spec.name);
            let tree = SettingsTree::parse("bounds.toml", &toml).unwrap();
            let resolved = toml::Table::try_from(tree.root()).unwrap();
            assert_eq!(resolved[spec.name].as_integer(), Some(bound));
        }
    }
}
