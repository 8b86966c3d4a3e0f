//! Reads the services of a tree.

use std::sync::Arc;

use galenastream_ownership::{FastMap, PlaceId, ServiceId};
use toml::de::DeTable;

use crate::{
    FieldId, FieldSet, KeyRange, Layers, Level, PlaceSettings, Resolved, ServicePlace,
    ServiceSettings, SettingsErrorKind,
    parse::{
        cross_checks,
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join, read_fields, sub_table},
        key_ranges::{read_key_ranges, read_place_key_ranges},
        names::{NameIds, check_name},
        suggestion::suggest,
    },
};

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

/// Reads the services with their places and key ranges.
pub(crate) fn read_services(
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
