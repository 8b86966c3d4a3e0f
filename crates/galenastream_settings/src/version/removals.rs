//! Removal is explicit: an entry that is missing from a file is an error, not a deletion.

use crate::{SettingsError, SettingsErrorKind, SettingsErrors, SettingsTree};

/// Refuses a new version from which something vanished that its `removed` list does not name.
pub fn check_removals(old: &SettingsTree, new: &SettingsTree) -> Result<(), SettingsErrors> {
    let new_entries = new.entries();
    let mut errors = Vec::new();
    let mut vanished: Vec<String> = Vec::new();
    for (path, entry) in old.entries() {
        if new_entries.contains_key(&path) || new.lists_as_removed(&path) {
            continue;
        }
        if vanished.iter().any(|table| is_within(&path, table)) {
            continue;
        }
        errors.push(SettingsError {
            source_name: new.source_name.clone(),
            line: None,
            path: path.clone(),
            value: None,
            kind: SettingsErrorKind::MissingEntry {
                old_value: entry.value,
                old_source: old.source_name.clone(),
                old_line: entry.line,
            },
        });
        vanished.push(path);
    }
    SettingsErrors::check(errors)
}

impl SettingsTree {
    pub(crate) fn lists_as_removed(&self, path: &str) -> bool {
        self.removed.iter().any(|removed| is_within(path, removed))
    }
}

/// Whether `path` is `table` or lies within it.
pub(crate) fn is_within(path: &str, table: &str) -> bool {
    let Some(rest) = path.strip_prefix(table) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('.')
}
