//! Checks that removals are explicit: an entry that is missing from a new version is an error
//! unless the version lists it as removed.

use crate::{SettingsError, SettingsErrorKind, SettingsErrors, SettingsTree};

/// Checks that a new version contains all entries of the old one, except those that its `removed`
/// list names.
///
/// # Errors
///
/// Returns one error for each missing entry. Entries within a missing table are not reported again.
pub fn check_removals(old: &SettingsTree, new: &SettingsTree) -> Result<(), SettingsErrors> {
    let new_entries = new.entries();
    let mut errors = Vec::new();
    let mut missing: Vec<String> = Vec::new();
    for (path, entry) in old.entries() {
        if new_entries.contains_key(&path) || new.lists_as_removed(&path) {
            continue;
        }
        if missing.iter().any(|table| is_within(&path, table)) {
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
        missing.push(path);
    }
    SettingsErrors::check(errors)
}

impl SettingsTree {
    /// Returns whether the `removed` list names the entry at `path` or a table around it.
    pub(crate) fn lists_as_removed(&self, path: &str) -> bool {
        self.removed.iter().any(|removed| is_within(path, removed))
    }
}

/// Returns whether `path` is `table` or an entry within it.
pub(crate) fn is_within(path: &str, table: &str) -> bool {
    let Some(rest) = path.strip_prefix(table) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('.')
}
