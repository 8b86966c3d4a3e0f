//! Reads a whole tree.

use std::sync::Arc;

use galenastream_utils::FastMap;
use toml::de::DeTable;

use crate::{
    FieldSet, Layers, Level, SettingsErrorKind, SettingsErrors, SettingsTree,
    parse::{
        document::Document,
        field_reader::{TableShape, read_fields, sub_table},
        place_reader::read_places,
        removed_reader::{check_removed_entries, read_removed},
        service_reader::read_services,
    },
};

/// The maximum size of a file.
const MAX_FILE_BYTES: usize = 1 << 20;

const ROOT_TABLE: TableShape = TableShape {
    entry_kind: "table of the file",
    level: None,
    other_names: &["defaults", "places", "removed", "services"],
};
const DEFAULTS_TABLE: TableShape =
    TableShape { entry_kind: "field", level: Some(Level::Root), other_names: &[] };

/// Parses and validates a tree.
pub(crate) fn parse_tree(source_name: &str, text: &str) -> Result<SettingsTree, SettingsErrors> {
    let mut document = Document::new(source_name, text);
    if text.len() > MAX_FILE_BYTES {
        let kind =
            SettingsErrorKind::FileTooLarge { size_bytes: text.len(), max_bytes: MAX_FILE_BYTES };
        document.push_error(None, "", None, kind);
        return Err(into_errors(document));
    }
    let (root, syntax_errors) = DeTable::parse_recoverable(text);
    for error in syntax_errors {
        let line = document.line(error.span().unwrap_or_default());
        document.report_error(
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
    read_fields(document, root, "", ROOT_TABLE);
    let defaults = match sub_table(document, root, "", "defaults") {
        Some(table) => read_fields(document, table, "defaults", DEFAULTS_TABLE),
        None => FieldSet::default(),
    };
    let defaults = Arc::new(defaults);
    let places = read_places(document, root);
    let services = read_services(document, root, &defaults, &places);
    let removed = read_removed(document, root);
    let mut service_positions = FastMap::default();
    for (position, service) in services.iter().enumerate() {
        service_positions.insert(service.name.clone(), position);
    }
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
    };
    check_removed_entries(document, root, &tree);
    Some(tree)
}
