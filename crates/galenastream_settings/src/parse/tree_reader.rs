//! Reads a tree from its file.

use std::sync::Arc;

use galenastream_ownership::{FastMap, PlaceId, ServiceId};
use toml::de::DeTable;

use crate::{
    FieldId, FieldSet, KeyRange, Layers, Level, PlaceSettings, Resolved, ServicePlace,
    ServiceSettings, SettingsErrorKind, SettingsErrors, SettingsTree, SettingsWarning, is_within,
    parse::{
        cross_checks,
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join, read_fields, sub_table},
        key_ranges::{read_key_ranges, read_place_key_ranges},
        names::{NameIds, check_name},
        suggestion::suggest,
        value_reader::read_text,
    },
};

/// The largest file that is read.
const MAX_FILE_BYTES: usize = 1 << 20;
/// How many places witnesses need, so that the loss of one leaves two.
const WITNESS_PLACES: usize = 3;
/// The region of a place that names none.
const DEFAULT_REGION: &str = "default";

const FILE: TableShape = TableShape {
    what: "table of the file",
    level: None,
    others: &["defaults", "places", "removed", "services"],
};
const DEFAULTS: TableShape = TableShape { what: "field", level: Some(Level::Root), others: &[] };
const PLACE: TableShape =
    TableShape { what: "field of a place's declaration", level: None, others: &["region"] };
const SERVICE: TableShape = TableShape {
    what: "field of a service",
    level: Some(Level::Service),
    others: &["key_ranges", "places"],
};
const SERVICE_PLACE: TableShape = TableShape {
    what: "field of a service's place",
    level: Some(Level::Place),
    others: &["key_ranges"],
};

/// Reads and checks a tree.
pub(crate) fn parse_tree(source_name: &str, text: &str) -> Result<SettingsTree, SettingsErrors> {
    let mut document = Document::new(source_name, text);
    if text.len() > MAX_FILE_BYTES {
        let kind =
            SettingsErrorKind::FileTooLarge { size_bytes: text.len(), max_bytes: MAX_FILE_BYTES };
        document.push(None, "", None, kind);
        return Err(into_errors(document));
    }
    let (root, syntax_errors) = DeTable::parse_recoverable(text);
    for error in syntax_errors {
        let line = document.line(error.span().unwrap_or_default());
        document.refuse(
            line,
            "",
            SettingsErrorKind::Syntax { message: error.message().to_owned() },
        );
    }
    if document.has_errors() {
        return Err(into_errors(document));
    }
    let tree = read_tree(&mut document, root.get_ref(), source_name);
    match tree {
        Some(tree) if !document.has_errors() => Ok(tree),
        _ => Err(into_errors(document)),
    }
}

fn into_errors(document: Document<'_>) -> SettingsErrors {
    SettingsErrors::new(document.into_errors())
}

fn read_tree(
    document: &mut Document<'_>,
    root: &DeTable<'_>,
    source_name: &str,
) -> Option<SettingsTree> {
    read_fields(document, root, "", FILE);
    let defaults = match sub_table(document, root, "", "defaults") {
        Some(table) => read_fields(document, table, "defaults", DEFAULTS),
        None => FieldSet::default(),
    };
    let defaults = Arc::new(defaults);
    cross_checks::check(document, &Layers::new(&defaults), 0);
    let places = read_places(document, root);
    let services = read_services(document, root, &defaults, &places);
    let removed = read_removed(document, root);
    let mut service_positions = FastMap::default();
    for (position, service) in services.iter().enumerate() {
        service_positions.insert(service.id, position);
    }
    let warnings = warn_of_few_places(&places);
    if document.has_errors() {
        return None;
    }
    let tree = SettingsTree {
        source_name: source_name.to_owned(),
        root: Layers::new(&defaults).resolve(),
        defaults,
        places,
        services,
        service_positions,
        removed,
        warnings,
    };
    refuse_removed_but_present(document, root, &tree);
    Some(tree)
}

fn read_places(document: &mut Document<'_>, root: &DeTable<'_>) -> Vec<PlaceSettings> {
    let mut places = Vec::new();
    let mut ids = NameIds::default();
    let Some(tables) = sub_table(document, root, "", "places") else {
        return places;
    };
    for (name, value) in in_file_order(tables) {
        let path = join("places", name.get_ref());
        let line = document.line(name.span());
        let id = PlaceId::from_name(name.get_ref());
        check_name(document, line, &path, name.get_ref());
        ids.insert(document, line, &path, name.get_ref(), id.0);
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        read_fields(document, table, &path, PLACE);
        let region = match table.get("region") {
            Some(region) => read_text(document, &join(&path, "region"), region),
            None => None,
        };
        places.push(PlaceSettings {
            id,
            name: name.get_ref().to_string(),
            region: region.unwrap_or_else(|| DEFAULT_REGION.to_owned()),
            line,
        });
    }
    places
}

fn read_services(
    document: &mut Document<'_>,
    root: &DeTable<'_>,
    defaults: &Arc<FieldSet>,
    places: &[PlaceSettings],
) -> Vec<ServiceSettings> {
    let mut services = Vec::new();
    let mut ids = NameIds::default();
    let Some(tables) = sub_table(document, root, "", "services") else {
        return services;
    };
    for (name, value) in in_file_order(tables) {
        let path = join("services", name.get_ref());
        let line = document.line(name.span());
        let id = ServiceId::from_name(name.get_ref());
        check_name(document, line, &path, name.get_ref());
        ids.insert(document, line, &path, name.get_ref(), id.0);
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, SERVICE);
        let key_ranges = read_key_ranges(document, table, &path);
        let service_places = read_service_places(document, table, &path, places, &key_ranges);
        let mut place_positions = FastMap::default();
        for (position, place) in service_places.iter().enumerate() {
            place_positions.insert(place.id, position);
        }
        let service = ServiceSettings {
            id,
            name: name.get_ref().to_string(),
            line,
            defaults: Arc::clone(defaults),
            fields,
            resolved: Resolved::new(key_ranges.len()),
            key_ranges,
            places: service_places,
            place_positions,
        };
        check_service(document, &service);
        services.push(service);
    }
    services
}

fn read_service_places(
    document: &mut Document<'_>,
    service: &DeTable<'_>,
    service_path: &str,
    declared: &[PlaceSettings],
    key_ranges: &[KeyRange],
) -> Vec<ServicePlace> {
    let mut places = Vec::new();
    let Some(tables) = sub_table(document, service, service_path, "places") else {
        return places;
    };
    for (name, value) in in_file_order(tables) {
        let path = format!("{service_path}.places.{}", name.get_ref());
        let line = document.line(name.span());
        let name = name.get_ref().to_string();
        if !declared.iter().any(|place| place.name == name) {
            document.refuse(line, &path, unknown_place(&name, declared));
        }
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, SERVICE_PLACE);
        let place_key_ranges = read_place_key_ranges(document, table, &path, key_ranges);
        places.push(ServicePlace {
            id: PlaceId::from_name(&name),
            name,
            line,
            fields,
            key_ranges: place_key_ranges,
            resolved: Resolved::new(key_ranges.len()),
        });
    }
    places
}

fn unknown_place(name: &str, declared: &[PlaceSettings]) -> SettingsErrorKind {
    let names = declared.iter().map(|place| place.name.as_str());
    SettingsErrorKind::UnknownPlace {
        suggestion: suggest(name, names.clone()).map(str::to_owned),
        declared: names.map(str::to_owned).collect(),
    }
}

/// Checks the fields that apply together, in the service, its key ranges and its places.
fn check_service(document: &mut Document<'_>, service: &ServiceSettings) {
    // The positions of the first unchecked level: the root was checked before the services.
    const FROM_SERVICE: usize = 1;
    const BELOW_SERVICE: usize = 2;
    let layers = service.layers(None, None);
    cross_checks::check(document, &layers, FROM_SERVICE);
    refuse_key_ranges_without_keys(document, &layers, service);
    for range in 0..service.key_ranges.len() {
        cross_checks::check(document, &service.layers(None, Some(range)), BELOW_SERVICE);
    }
    for place in &service.places {
        if !place.overrides_any() {
            continue;
        }
        cross_checks::check(document, &service.layers(Some(place), None), BELOW_SERVICE);
        for range in 0..service.key_ranges.len() {
            let layers = service.layers(Some(place), Some(range));
            cross_checks::check(document, &layers, BELOW_SERVICE);
        }
    }
}

fn refuse_key_ranges_without_keys(
    document: &mut Document<'_>,
    layers: &Layers<'_>,
    service: &ServiceSettings,
) {
    let Some(field) = FieldId::find("divided_by_key") else {
        return;
    };
    let (divided_by_key, _) = layers.find(field);
    if divided_by_key.as_bool() != Some(false) {
        return;
    }
    for range in &service.key_ranges {
        let path = format!("services.{}.key_ranges.{}", service.name, range.name);
        document.refuse(range.line, &path, SettingsErrorKind::NotDividedByKey);
    }
}

fn read_removed(document: &mut Document<'_>, root: &DeTable<'_>) -> Vec<String> {
    let mut removed = Vec::new();
    let Some(value) = root.get("removed") else {
        return removed;
    };
    let Some(entries) = value.get_ref().as_array() else {
        let kind = SettingsErrorKind::WrongType {
            found: value.get_ref().type_str(),
            expected: "a list of entries like [\"services.booking.slots\"]".to_owned(),
        };
        document.refuse_value(value.span(), "removed", kind);
        return removed;
    };
    for entry in entries {
        removed.extend(read_text(document, "removed", entry));
    }
    removed
}

fn refuse_removed_but_present(
    document: &mut Document<'_>,
    root: &DeTable<'_>,
    tree: &SettingsTree,
) {
    if tree.removed.is_empty() {
        return;
    }
    let line = root.get("removed").map(|value| document.line(value.span()));
    let entries = tree.entries();
    for removed in &tree.removed {
        if !entries.keys().any(|path| is_within(path, removed)) {
            continue;
        }
        let kind = SettingsErrorKind::RemovedButPresent { entry: removed.clone() };
        document.push(line, "removed", None, kind);
    }
}

fn warn_of_few_places(places: &[PlaceSettings]) -> Vec<SettingsWarning> {
    let mut regions: Vec<&str> = places.iter().map(|place| place.region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    if regions.is_empty() {
        regions.push(DEFAULT_REGION);
    }
    let mut warnings = Vec::new();
    for region in regions {
        let count = places.iter().filter(|place| place.region == region).count();
        if count < WITNESS_PLACES {
            warnings.push(SettingsWarning::FewPlaces { region: region.to_owned(), places: count });
        }
    }
    warnings
}
