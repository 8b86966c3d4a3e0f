//! The example trees at the root of the repository.

use std::{fs, path::Path};

use galenastream_ownership::ServiceId;
use galenastream_settings::{EffectiveSettings, SettingsTree};

fn example(name: &str) -> SettingsTree {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings").join(name);
    let toml = fs::read_to_string(path).expect("the test's tree is valid");
    match SettingsTree::parse(name, &toml) {
        Ok(tree) => tree,
        Err(errors) => panic!("{errors}"),
    }
}

fn service<'a>(tree: &'a SettingsTree, name: &str) -> &'a EffectiveSettings {
    tree.service(ServiceId::from_name(name)).expect("the test's tree is valid").settings()
}

#[test]
fn pamplemousses_has_its_sizes_and_weighs_imbalance() {
    let tree = example("pamplemousses.toml");
    assert!(tree.warnings().is_empty());
    assert_eq!(tree.places().len(), 4);
    let names: Vec<&str> = tree.services().iter().map(|service| service.name()).collect();
    assert_eq!(names, ["catalogue", "booking", "fitting"]);
    for settings in tree.services() {
        assert_eq!(settings.places().count(), 4);
        assert_eq!((settings.settings().slots, settings.settings().connections), (20, 120));
        assert_eq!(settings.settings().divided_by_key, settings.name() == "catalogue");
    }
    let catalogue = service(&tree, "catalogue");
    assert!(catalogue.planner_imbalance_percent > catalogue.planner_unavailable_percent);
    check_first_shed(catalogue, "listing", "reservation");
}

#[test]
fn halvorsen_has_its_sizes_and_weighs_unavailable_time() {
    let tree = example("halvorsen.toml");
    assert!(tree.warnings().is_empty());
    assert_eq!(tree.places().len(), 3);
    let names: Vec<&str> = tree.services().iter().map(|service| service.name()).collect();
    assert_eq!(names, ["catalog", "enrolment", "rosters"]);
    for settings in tree.services() {
        assert_eq!(settings.places().count(), 3);
        assert_eq!((settings.settings().slots, settings.settings().connections), (6, 110));
        assert_eq!(settings.settings().divided_by_key, settings.name() == "catalog");
    }
    let catalog = service(&tree, "catalog");
    assert!(catalog.planner_unavailable_percent > catalog.planner_imbalance_percent);
    check_first_shed(catalog, "attendance", "payment");
}

fn check_first_shed(settings: &EffectiveSettings, first: &str, last: &str) {
    let lowest = settings
        .classes
        .iter()
        .min_by_key(|class| class.priority)
        .expect("the test's tree is valid");
    let highest = settings
        .classes
        .iter()
        .max_by_key(|class| class.priority)
        .expect("the test's tree is valid");
    assert_eq!((lowest.name.as_str(), highest.name.as_str()), (first, last));
}
