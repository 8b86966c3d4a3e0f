//! Reads the places that a tree declares.

use galenastream_ownership::PlaceId;
use toml::de::DeTable;

use crate::{
    PlaceSettings, SettingsWarning,
    parse::{
        document::Document,
        field_reader::{TableShape, as_table, in_file_order, join, read_fields, sub_table},
        names::{NameIds, check_name},
        value_reader::read_text,
    },
};

/// How many places witnesses need, so that the loss of one leaves two.
const WITNESS_PLACES: usize = 3;
/// The region of a place that names none.
const DEFAULT_REGION: &str = "default";
const PLACE: TableShape =
    TableShape { what: "field of a place's declaration", level: None, others: &["region"] };

/// Reads the places that the file declares.
pub(crate) fn read_places(document: &mut Document<'_>, root: &DeTable<'_>) -> Vec<PlaceSettings> {
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

/// Warns of regions with too few places for witnesses.
pub(crate) fn warn_of_few_places(places: &[PlaceSettings]) -> Vec<SettingsWarning> {
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
