//! Reads and checks the list of removed entries.

use toml::de::DeTable;

use crate::{
    SettingsErrorKind, SettingsTree, is_within,
    parse::{document::Document, value_reader::read_string},
};

/// Reads the paths of the entries that the file removes explicitly.
pub(crate) fn read_removed(document: &mut Document<'_>, root: &DeTable<'_>) -> Vec<String> {
    let mut removed = Vec::new();
    let Some(value) = root.get("removed") else {
        return removed;
    };
    let Some(entries) = value.get_ref().as_array() else {
        let kind = SettingsErrorKind::WrongType {
            found: value.get_ref().type_str(),
            expected: "a list of entries like [\"services.booking.queue_per_slot\"]".to_owned(),
        };
        document.report_value_error(value.span(), "removed", kind);
        return removed;
    };
    for entry in entries {
        removed.extend(read_string(document, "removed", entry));
    }
    removed
}

/// Reports entries that are listed as removed but still present.
pub(crate) fn check_removed_entries(
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
        document.push_error(line, "removed", None, kind);
    }
}
