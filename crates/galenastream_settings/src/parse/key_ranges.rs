//! Reads the key ranges of a service and the fields that its places override in them.

use toml::de::DeTable;

use crate::{
    KeyBounds, KeyRange, Level, PlaceKeyRange, SettingsErrorKind,
    parse::{
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join_path, read_fields, sub_table},
        names::check_name,
        value_reader::read_key,
    },
};

const KEY_RANGE_TABLE: TableShape = TableShape {
    entry_kind: "field of a key range",
    level: Some(Level::KeyRange),
    other_names: &["first_key", "last_key"],
};
const PLACE_KEY_RANGE_TABLE: TableShape = TableShape {
    entry_kind: "field of a key range in a place",
    level: Some(Level::KeyRange),
    other_names: &[],
};

/// Reads the key ranges that a service declares, sorted by first key.
pub(crate) fn read_key_ranges(
    document: &mut Document<'_>,
    service: &DeTable<'_>,
    path: &str,
) -> Vec<KeyRange> {
    let mut ranges = Vec::new();
    let path = join_path(path, "key_ranges");
    let Some(tables) = sub_table(document, service, parent_path(&path), "key_ranges") else {
        return ranges;
    };
    for (name, value) in in_file_order(tables) {
        let path = join_path(&path, name.get_ref());
        let line = document.line(name.span());
        check_name(document, line, &path, name.get_ref());
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, KEY_RANGE_TABLE);
        let Some(bounds) = read_bounds(document, table, &path, line) else {
            continue;
        };
        ranges.push(KeyRange { name: name.get_ref().to_string(), line, bounds, fields });
    }
    sort_and_check_overlaps(document, &path, &mut ranges);
    ranges
}

/// Reads the fields that a place overrides in the key ranges of its service.
pub(crate) fn read_place_key_ranges(
    document: &mut Document<'_>,
    place: &DeTable<'_>,
    path: &str,
    declared: &[KeyRange],
) -> Vec<PlaceKeyRange> {
    let mut ranges = Vec::new();
    let Some(tables) = sub_table(document, place, path, "key_ranges") else {
        return ranges;
    };
    for (name, value) in in_file_order(tables) {
        let path = join_path(&join_path(path, "key_ranges"), name.get_ref());
        let line = document.line(name.span());
        if !declared.iter().any(|range| range.name == name.get_ref().as_ref()) {
            let declared = declared.iter().map(|range| range.name.clone()).collect();
            document.report_error(line, &path, SettingsErrorKind::UnknownKeyRange { declared });
            continue;
        }
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        let fields = read_fields(document, table, &path, PLACE_KEY_RANGE_TABLE);
        ranges.push(PlaceKeyRange { name: name.get_ref().to_string(), line, fields });
    }
    ranges
}

fn read_bounds(
    document: &mut Document<'_>,
    table: &DeTable<'_>,
    path: &str,
    line: usize,
) -> Option<KeyBounds> {
    let mut read = |name: &str| match table.get(name) {
        Some(value) => read_key(document, &join_path(path, name), value).map(Some),
        None => Some(None),
    };
    let first = read("first_key")?;
    let last = read("last_key")?;
    if first.is_none() && last.is_none() {
        document.report_error(line, path, SettingsErrorKind::MissingKeyBounds);
        return None;
    }
    let bounds = KeyBounds::new(first, last);
    if bounds.is_empty() {
        document.report_error(line, path, SettingsErrorKind::EmptyKeyRange);
        return None;
    }
    Some(bounds)
}

/// Sorts the ranges by first key and reports overlaps at the range that is declared later.
fn sort_and_check_overlaps(document: &mut Document<'_>, path: &str, ranges: &mut [KeyRange]) {
    ranges.sort_by_key(|it| it.bounds.first);
    for (position, range) in ranges.iter().enumerate() {
        for other in &ranges[..position] {
            if !range.bounds.overlaps(other.bounds) {
                continue;
            }
            let (later, earlier) =
                if range.line > other.line { (range, other) } else { (other, range) };
            let kind = SettingsErrorKind::OverlappingKeyRanges {
                other: earlier.name.clone(),
                other_line: earlier.line,
            };
            document.report_error(later.line, &join_path(path, &later.name), kind);
        }
    }
}

fn parent_path(path: &str) -> &str {
    path.rsplit_once('.').map_or("", |(parent, _)| parent)
}
