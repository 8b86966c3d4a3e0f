//! Removal is explicit: an entry that is missing from a file is an error, not a deletion.

use crate::{SettingsError, SettingsErrorKind, SettingsErrors, SettingsTree, check_fixed_fields};

/// Refuses a new version that must not follow the old one. Returns all errors at once.
///
/// `stopped` names the services of which the operator says that no node runs.
pub fn check_update(
    old: &SettingsTree,
    new: &SettingsTree,
    stopped: &[&str],
) -> Result<(), SettingsErrors> {
    SettingsErrors::merge(check_removals(old, new), check_fixed_fields(old, new, stopped))
}

/// Refuses a new version from which something vanished that its `removed` list does not name.
pub fn check_removals(old: &SettingsTree, new: &SettingsTree) -> Result<(), SettingsErrors> {
    let new_entries = new.entries();
    let mut errors = Vec::new();
    let mut vanished: Vec<String> = Vec::new();
    for (path, entry) in old.entries() {
        if new_entries.contains_key(&path) || new.names_removed(&path) {
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
            kind: SettingsErrorKind::Vanished {
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
    pub(crate) fn names_removed(&self, path: &str) -> bool {
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
