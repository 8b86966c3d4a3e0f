//! Fuzz tests of the settings tree: kept and mutated documents are refused with errors that name a
//! remedy, or give values within their bounds for each service, place and key.

use std::sync::LazyLock;

use galenastream_settings::{EffectiveSettings, FIELDS, FieldKind, SettingsTree};
use galenastream_standin::{Corpus, fuzz_config};
use proptest::prelude::*;

static TREES: LazyLock<Corpus> = LazyLock::new(|| {
    Corpus::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/tree"))
        .expect("the corpus is in the repository")
});

fn check_values(settings: &EffectiveSettings) -> Result<(), TestCaseError> {
    let values = toml::Table::try_from(settings).expect("settings form a table");
    for spec in FIELDS {
        let FieldKind::Integer { min, max } = spec.kind;
        let value = values[spec.name].as_integer();
        prop_assert!(value.is_some_and(|it| min <= it && it <= max), "{} {:?}", spec.name, value);
    }
    Ok(())
}

/// Checks a document, and returns whether it is accepted.
fn check_tree(bytes: &[u8], key: u16) -> Result<bool, TestCaseError> {
    // Rows are converted in the same way before they are parsed.
    let text = String::from_utf8_lossy(bytes);
    let tree = match SettingsTree::parse("tree.toml", &text) {
        Ok(tree) => tree,
        Err(errors) => {
            prop_assert!(!errors.to_string().is_empty());
            return Ok(false);
        }
    };
    check_values(tree.root())?;
    let mut places: Vec<&str> = tree.places().iter().map(|it| it.name.as_str()).collect();
    places.push("nowhere");
    for service in tree.services() {
        for place in &places {
            for key in [None, Some(0), Some(key), Some(u16::MAX)] {
                let settings = tree.effective(service.name(), place, key);
                check_values(settings)?;
                let values = toml::Table::try_from(settings).expect("settings form a table");
                let explained = tree.explain(service.name(), Some(place), key);
                for field in explained.expect("the service exists") {
                    prop_assert_eq!(values[field.field].to_string(), field.value);
                }
            }
        }
    }
    Ok(true)
}

#[test]
fn kept_trees_are_decoded_or_refused() {
    for document in TREES.documents() {
        let is_accepted = check_tree(&document.bytes, 150).expect(&document.name);
        assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
    }
}

proptest! {
    #![proptest_config(fuzz_config(2_000))]

    #[test]
    fn mutated_trees_are_refused_or_give_values_within_their_bounds(
        bytes in TREES.mutated(),
        key in any::<u16>(),
    ) {
        check_tree(&bytes, key)?;
    }
}
