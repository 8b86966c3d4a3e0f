//! Differences between two versions.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{FieldSet, SettingsTree};

/// An entry that differs between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SettingsChange {
    /// The path of the entry, for example `services.booking.queue_per_slot`.
    pub path: String,
    /// The old value; `None` if the entry is new.
    pub old: Option<String>,
    /// The new value; `None` if the entry is missing from the new version.
    pub new: Option<String>,
}

/// Compares two versions. Returns the changes, sorted by path.
pub fn diff(old: &SettingsTree, new: &SettingsTree) -> Vec<SettingsChange> {
    let old_entries = old.entries();
    let new_entries = new.entries();
    let mut paths: Vec<&String> = old_entries.keys().chain(new_entries.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    let mut changes = Vec::new();
    for path in paths {
        let old_value = old_entries.get(path).map(|entry| entry.value.clone());
        let new_value = new_entries.get(path).map(|entry| entry.value.clone());
        if old_value == new_value {
            continue;
        }
        changes.push(SettingsChange { path: path.clone(), old: old_value, new: new_value });
    }
    changes
}

/// A table, key range or field that a tree sets, with its value in messages.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) value: String,
    pub(crate) line: usize,
}

impl SettingsTree {
    /// Returns all tables, key ranges and fields that the tree sets, by path.
    pub(crate) fn entries(&self) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        add_fields(&mut entries, "defaults", &self.defaults);
        for place in &self.places {
            let path = format!("places.{}", place.name);
            add_table(&mut entries, &path, place.line);
        }
        for service in &self.services {
            let path = format!("services.{}", service.name);
            add_table(&mut entries, &path, service.line);
            add_fields(&mut entries, &path, &service.fields);
            for range in &service.key_ranges {
                let path = format!("{path}.key_ranges.{}", range.name);
                let value = range.bounds.to_string();
                entries.insert(path.clone(), Entry { value, line: range.line });
                add_fields(&mut entries, &path, &range.fields);
            }
            for place in &service.places {
                let path = format!("{path}.places.{}", place.name);
                add_table(&mut entries, &path, place.line);
                add_fields(&mut entries, &path, &place.fields);
                for range in &place.key_ranges {
                    let path = format!("{path}.key_ranges.{}", range.name);
                    add_table(&mut entries, &path, range.line);
                    add_fields(&mut entries, &path, &range.fields);
                }
            }
        }
        entries
    }
}

fn add_table(entries: &mut BTreeMap<String, Entry>, path: &str, line: usize) {
    entries.insert(path.to_owned(), Entry { value: "a table".to_owned(), line });
}

fn add_fields(entries: &mut BTreeMap<String, Entry>, path: &str, fields: &FieldSet) {
    for (field, set) in fields.iter() {
        let entry = Entry { value: set.value.to_string(), line: set.line };
        entries.insert(format!("{path}.{}", field.name()), entry);
    }
}
