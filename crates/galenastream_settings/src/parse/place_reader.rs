//! Reads the declarations of places.

use toml::de::DeTable;

use crate::{
    PlaceSettings,
    parse::{
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join_path, read_fields, sub_table},
        names::check_name,
    },
};

const PLACE_TABLE: TableShape =
    TableShape { entry_kind: "field of a place's declaration", level: None, other_names: &[] };

/// Reads the places that the file declares.
pub(crate) fn read_places(document: &mut Document<'_>, root: &DeTable<'_>) -> Vec<PlaceSettings> {
    let mut places = Vec::new();
    let Some(tables) = sub_table(document, root, "", "places") else {
        return places;
    };
    for (name, value) in in_file_order(tables) {
        let path = join_path("places", name.get_ref());
        let line = document.line(name.span());
        check_name(document, line, &path, name.get_ref());
        let Some(table) = as_table(document, value, &path) else {
            continue;
        };
        read_fields(document, table, &path, PLACE_TABLE);
        places.push(PlaceSettings { name: name.get_ref().to_string(), line });
    }
    places
}
