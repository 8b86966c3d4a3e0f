//! Rules between fields hold for every request of a tree that is accepted.

use galenastream_ownership::{PlaceId, ServiceId};
use galenastream_settings::{FIELDS, FieldKind, SettingsTree};
use proptest::prelude::*;

const TABLES: [&str; 6] = [
    "[defaults]",
    "[services.s]",
    "[services.s.places.p]",
    "[services.s.key_ranges.r]\nkey_prefix = \"r/\"",
    "[services.s.places.p.key_ranges.r]",
    "[services.s.places.q]",
];

/// Deadlines that a level may set: default, longest, and wait for a slot.
type Deadlines = [Option<u32>; 3];

fn tree_of(levels: &[Deadlines]) -> String {
    let mut toml = String::from("[places.p]\n[places.q]\n");
    for (table, deadlines) in TABLES.iter().zip(levels) {
        toml.push_str(table);
        toml.push('\n');
        let names = ["request_deadline_ms", "max_deadline_ms", "queue_wait_ms"];
        for (name, value) in names.iter().zip(deadlines) {
            if let Some(value) = value {
                toml.push_str(&format!("{name} = {value}\n"));
            }
        }
    }
    toml
}

fn is_valid_everywhere(levels: &[Deadlines]) -> bool {
    // The service's own settings, then those of a place, of a range, and of both.
    let chains = [
        vec![0],
        vec![0, 1],
        vec![0, 1, 2],
        vec![0, 1, 3],
        vec![0, 1, 2, 3, 4],
        vec![0, 1, 5],
        vec![0, 1, 5, 3],
    ];
    chains.iter().all(|chain| {
        let mut deadlines = [1_000, 10_000, 50];
        for &level in chain {
            for (value, set) in deadlines.iter_mut().zip(levels[level]) {
                *value = set.unwrap_or(*value);
            }
        }
        let [request, max, wait] = deadlines;
        wait <= request && request <= max
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn accepted_trees_keep_the_rules_for_every_request(
        levels in proptest::collection::vec(
            proptest::array::uniform3(proptest::option::weighted(
                0.3,
                proptest::sample::select(vec![40, 60, 500, 2_000, 20_000]),
            )),
            TABLES.len(),
        )
    ) {
        let toml = tree_of(&levels);
        let parsed = SettingsTree::parse("tree.toml", &toml);
        prop_assert_eq!(parsed.is_ok(), is_valid_everywhere(&levels), "{}", toml);
        let Ok(tree) = parsed else {
            return Ok(());
        };
        for place in ["p", "q", "elsewhere"] {
            for key in ["r/1", "other"] {
                let service = ServiceId::from_name("s");
                let place = PlaceId::from_name(place);
                let settings = tree.effective(service, place, key.as_bytes()).unwrap();
                prop_assert!(settings.queue_wait_ms <= settings.request_deadline_ms);
                prop_assert!(settings.request_deadline_ms <= settings.max_deadline_ms);
            }
        }
    }
}

#[test]
fn bounds_of_each_field_fit_its_type() {
    for spec in FIELDS {
        let FieldKind::Integer { min, max } = spec.kind else {
            continue;
        };
        for bound in [min, max] {
            let toml = format!("[defaults]\n{} = {bound}\n", spec.name);
            // A bound may break a rule between fields; if it does not, it must fit.
            if let Ok(tree) = SettingsTree::parse("bounds.toml", &toml) {
                let resolved = toml::Table::try_from(tree.root()).unwrap();
                assert_eq!(resolved[spec.name].as_integer(), Some(bound));
            }
        }
    }
}
