//! Reads the services with their places and key ranges.

use std::sync::Arc;

use galenastream_utils::FastMap;
use toml::de::DeTable;

use crate::{
    FieldSet, KeyRange, LazySettings, Level, PlaceSettings, ServicePlace, ServiceSettings,
    SettingsErrorKind,
    parse::{
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join_path, read_fields, sub_table},
        key_ranges::{read_key_ranges, read_place_key_ranges},
        names::check_name,
        suggestion::suggest,
    },
};

const SERVICE_TABLE: TableShape = TableShape {
    entry_kind: "field of a service",
    level: Some(Level::Service),
    other_names: &["key_ranges", "places"],
};
const SERVICE_PLACE_TABLE: TableShape = TableShape {
    entry_kind: "field of a service's place",
    level: Some(Level::Place),
    other_names: &["key_ranges"],
};

/// Reads the services of the file, which inherit from `defaults` and may only name declared
/// `places`.
pub(crate) fn read_services(
    document: &mut Document<'_>,
    root: &DeTable<'_>,
    defaults: &Arc<FieldSet>,
    places: &[PlaceSettings],
) -> Vec<ServiceSettings> {
    let mut services = Vec::new();
    let Some(tables) = sub_table(document, root, "", "services") else {
        return services;
    };
    for (name, value) in in_file_order(tables) {
        let path = join_path("services", name.get_ref());
        let line = document.line(name.span());
        check_name(document, line, &path, name.get_ref());
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, SERVICE_TABLE);
        let key_ranges = read_key_ranges(document, table, &path);
        let service_places = read_service_places(document, table, &path, places, &key_ranges);
        let mut place_positions = FastMap::default();
        for (position, place) in service_places.iter().enumerate() {
            place_positions.insert(place.name.clone(), position);
        }
        services.push(ServiceSettings {
            name: name.get_ref().to_string(),
            line,
            defaults: Arc::clone(defaults),
            fields,
            resolved: LazySettings::new(key_ranges.len()),
            key_ranges,
            places: service_places,
            place_positions,
        });
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
            document.report_error(line, &path, unknown_place(&name, declared));
        }
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, SERVICE_PLACE_TABLE);
        let place_key_ranges = read_place_key_ranges(document, table, &path, key_ranges);
        places.push(ServicePlace {
            name,
            line,
            fields,
            key_ranges: place_key_ranges,
            resolved: LazySettings::new(key_ranges.len()),
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
