//! What a request gets: inheritance, key ranges, and where each value comes from.

use expect_test::{Expect, expect};
use galenastream_ownership::{PlaceId, PlannerWeights, ServiceId};
use galenastream_settings::{FIELDS, FieldId, KeyBounds, SettingsTree};
use proptest::prelude::*;

const TREE: &str = r#"
[defaults]
slots = 8
retry_after_ms = 100

[places.west]
[places.east]
[places.north]

[services.catalogue]
retry_after_ms = 200

[services.catalogue.places.east]
retry_after_ms = 300
slots = 4

[services.catalogue.places.north]

[services.catalogue.key_ranges.hot]
key_prefix = "hot/"
retry_after_ms = 400

[services.catalogue.key_ranges.tail]
first_key = "x"
last_key = "y"

[services.catalogue.places.east.key_ranges.hot]
retry_after_ms = 500

[services.booking]
divided_by_key = false
lease_ms = 900
"#;

fn tree() -> SettingsTree {
    SettingsTree::parse("tree.toml", TREE).expect("the test's tree is valid")
}

fn retry_after_ms(service: &str, place: &str, key: &str) -> Option<u32> {
    let tree = tree();
    let service = ServiceId::from_name(service);
    let settings = tree.effective(service, PlaceId::from_name(place), key.as_bytes())?;
    Some(settings.retry_after_ms)
}

#[test]
fn each_level_inherits_unless_it_overrides() {
    let cases = [
        ("booking", "east", "hot/1", Some(100)),
        ("catalogue", "west", "a", Some(200)),
        ("catalogue", "north", "a", Some(200)),
        ("catalogue", "nowhere", "a", Some(200)),
        ("catalogue", "east", "a", Some(300)),
        ("catalogue", "west", "hot/1", Some(400)),
        ("catalogue", "north", "hot/1", Some(400)),
        ("catalogue", "east", "hot/1", Some(500)),
        ("catalogue", "east", "hot/", Some(500)),
        ("catalogue", "east", "hot0", Some(300)),
        ("catalogue", "east", "x", Some(300)),
        ("unknown", "east", "hot/1", None),
    ];
    for (service, place, key, expected) in cases {
        assert_eq!(retry_after_ms(service, place, key), expected, "{service} {place} {key}");
    }
}

#[test]
fn timing_is_that_of_the_service() {
    let tree = tree();
    assert_eq!(
        tree.timing(ServiceId::from_name("booking")).expect("the test's tree is valid").lease_ms,
        900
    );
    assert_eq!(
        tree.timing(ServiceId::from_name("catalogue")).expect("the test's tree is valid").lease_ms,
        600
    );
    assert_eq!(tree.timing(ServiceId::from_name("unknown")), None);
}

#[test]
fn built_in_durations_and_weights_are_those_of_the_ownership_crate() {
    let tree = SettingsTree::parse("empty.toml", "").expect("an empty tree is valid");
    let weights = PlannerWeights::default();
    let weights = PlannerWeights { ramp_up_ms: tree.root().ramp_up_ms, ..weights };
    assert_eq!(tree.root().planner_weights(), weights);
    assert_eq!(tree.root().timing(), galenastream_ownership::Timing::default());
}

#[test]
fn values_are_explained_by_the_level_that_set_them() {
    check_explained(
        Some("east"),
        Some("hot/1"),
        &expect![[r#"
        slots = 4 (place, services.catalogue.places.east, line Some(15))
        retry_after_ms = 500 (key range, services.catalogue.places.east.key_ranges.hot, line Some(28))
        lease_ms = 600 (built-in, built-in, line None)"#]],
    );
    check_explained(
        None,
        None,
        &expect![[r#"
        slots = 8 (root, defaults, line Some(3))
        retry_after_ms = 200 (service, services.catalogue, line Some(11))
        lease_ms = 600 (built-in, built-in, line None)"#]],
    );
}

fn check_explained(place: Option<&str>, key: Option<&str>, expected: &Expect) {
    let tree = tree();
    let explained = tree
        .explain(
            ServiceId::from_name("catalogue"),
            place.map(PlaceId::from_name),
            key.map(str::as_bytes),
        )
        .expect("the test's tree is valid");
    let mut lines = Vec::new();
    for field in explained {
        if !["slots", "retry_after_ms", "lease_ms"].contains(&field.field) {
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
fn few_places_are_a_warning() {
    let two =
        "[places.a]\nregion = \"r\"\n[places.b]\nregion = \"r\"\n[places.c]\nregion = \"s\"\n";
    let tree = SettingsTree::parse("two.toml", two).expect("the test's tree is valid");
    let warnings: Vec<String> = tree.warnings().iter().map(ToString::to_string).collect();
    expect![[r#"
        region "r" has 2 of the 3 places that witnesses need; its cells run on the store alone
        region "s" has 1 of the 3 places that witnesses need; its cells run on the store alone"#]]
    .assert_eq(&warnings.join("\n"));
    assert!(self::tree().warnings().is_empty());
}

#[test]
fn table_of_fields_agrees_with_the_resolved_settings() {
    let tree = SettingsTree::parse("empty.toml", "").expect("the test's tree is valid");
    let resolved = toml::Table::try_from(tree.root()).expect("the test's tree is valid");
    let mut in_table: Vec<&str> = FIELDS.iter().map(|spec| spec.name).collect();
    let mut in_struct: Vec<&str> = resolved.keys().map(String::as_str).collect();
    in_table.sort_unstable();
    in_struct.sort_unstable();
    assert_eq!(in_table, in_struct);
    for spec in FIELDS {
        assert_eq!(FieldId::find(spec.name).expect("the test's tree is valid").spec(), spec);
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
        key in "hot/?[a-z]?|[w-z]{0,2}",
    ) {
        let tree = tree();
        let service = ServiceId::from_name(&service);
        let place = PlaceId::from_name(&place);
        let effective = tree.effective(service, place, key.as_bytes()).unwrap();
        let effective = toml::Table::try_from(effective).unwrap();
        for field in tree.explain(service, Some(place), Some(key.as_bytes())).unwrap() {
            prop_assert_eq!(effective[field.field].to_string(), field.value);
        }
    }

    #[test]
    fn overlap_means_a_common_key(
        bounds in proptest::collection::vec(arbitrary_bounds(), 2),
        keys in proptest::collection::vec("[ab]{0,3}", 20),
    ) {
        for key in keys {
            let in_both = bounds.iter().all(|range| range.contains(key.as_bytes()));
            prop_assert!(!in_both || bounds[0].overlaps(&bounds[1]));
        }
        prop_assert_eq!(bounds[0].overlaps(&bounds[1]), bounds[1].overlaps(&bounds[0]));
    }

    #[test]
    fn prefix_range_has_just_the_keys_with_the_prefix(prefix in "[a\u{7f}]{1,2}", key in "[ab\u{7f}]{0,3}") {
        let bounds = KeyBounds::with_prefix(prefix.as_bytes());
        prop_assert_eq!(bounds.contains(key.as_bytes()), key.starts_with(&prefix));
    }

    #[test]
    fn any_text_is_parsed_or_refused_without_a_panic(text in "[\\[\\]a-z_.=\"0-9\n ]{0,200}") {
        let _ = SettingsTree::parse("any.toml", &text);
    }
}

fn arbitrary_bounds() -> impl Strategy<Value = KeyBounds> {
    ("[ab]{0,2}", proptest::option::of("[ab]{0,2}"))
        .prop_map(|(first, last)| {
            KeyBounds::new(Some(first.as_bytes()), last.as_ref().map(String::as_bytes))
        })
        .prop_filter("empty ranges are refused", |bounds| !bounds.is_empty())
}
