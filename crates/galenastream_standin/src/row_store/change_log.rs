//! The changes of the rows of a store, from which feeds are answered.

use std::collections::VecDeque;

use serde_json::Value;

use super::row_table::{StoredRow, row_json};

/// The number of changes that are kept.
const MAX_CHANGES: usize = 4_096;

/// The last changes of all tables, in order. A row that changed twice is in it twice, as in the feeds
/// of the platform.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<Change>,
    /// The highest version whose changes may be missing.
    dropped_version: u64,
}

/// A change of a row.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) table: String,
    pub(super) key: String,
    pub(super) row: StoredRow,
}

impl ChangeLog {
    pub(super) fn extend(&mut self, changes: Vec<Change>) {
        self.changes.extend(changes);
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.dropped_version = dropped.map_or(0, |it| it.row.version);
        }
    }

    /// Forgets the changes after a version, which a restore has undone.
    pub(super) fn restore(&mut self, version: u64) {
        self.changes.retain(|it| it.row.version <= version);
    }

    /// Whether all changes after a version are kept.
    pub(super) const fn reaches_back_to(&self, version: u64) -> bool {
        version >= self.dropped_version
    }

    /// Returns the changes of a table after a version, also removals, in order.
    pub(super) fn after(&self, table: &str, version: u64) -> Vec<Value> {
        let of_table = self.changes.iter().filter(|it| it.table == table);
        let newer = of_table.filter(|it| it.row.version > version);
        newer.map(|it| row_json(&it.table, &it.key, &it.row)).collect()
    }
}
