//! The rows of a store and its transactions.

use std::collections::BTreeMap;

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};

use super::change_log::Change;

/// The rows of all tables of a store. Each transaction that applies raises the version.
#[derive(Debug, Clone, Default)]
pub(super) struct RowTable {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
    /// The changes that the log does not have yet.
    unlogged: Vec<Change>,
}

#[derive(Debug, Clone)]
pub(super) struct StoredRow {
    /// The encoded value; `None` for a row that was removed.
    value: Option<String>,
    pub(super) version: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Transaction {
    #[serde(rename = "expectedRev", default)]
    expected: Vec<TransactionRow>,
    #[serde(default)]
    puts: Vec<TransactionRow>,
    #[serde(default)]
    remove: Vec<TransactionRow>,
}

/// A row of a transaction: an expected version, a value to put, or a row to remove.
#[derive(Debug, Deserialize)]
struct TransactionRow {
    table: String,
    key: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    value: String,
}

impl Transaction {
    /// Replaces a text by another one of the same length in the rows to put.
    pub(super) fn replace_in_values(&mut self, from: &str, to: &str) {
        for row in &mut self.puts {
            let Ok(mut value) = BASE64_STANDARD.decode(&row.value) else {
                continue;
            };
            let Some(start) = value.windows(from.len()).position(|it| it == from.as_bytes()) else {
                continue;
            };
            value[start..start + to.len()].copy_from_slice(to.as_bytes());
            row.value = BASE64_STANDARD.encode(value);
        }
    }
}

impl RowTable {
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Goes back to an older copy. Rows of the tables that nodes do not write are kept, since their
    /// writers write them again.
    pub(super) fn restore(&mut self, copy: Self, kept_tables: &[&str]) {
        let lost = std::mem::replace(self, copy);
        for ((table, key), row) in lost.rows {
            if !kept_tables.contains(&table.as_str()) {
                continue;
            }
            self.version += 1;
            self.set(table, key, row.value);
        }
    }

    /// Applies a transaction if all expected rows have their expected versions. Otherwise changes
    /// nothing and returns the current state of these rows as `Err`.
    pub(super) fn apply(&mut self, transaction: Transaction) -> Result<Value, Value> {
        let is_met = transaction.expected.iter().all(|it| self.version_of(it) == it.ver);
        if !is_met {
            let rows: Vec<Value> =
                transaction.expected.iter().map(|it| self.current_row_json(it)).collect();
            return Err(json!({ "rows": rows, "ver": self.version, "nowMs": 0 }));
        }
        self.version += 1;
        for row in transaction.puts {
            self.set(row.table, row.key, Some(row.value));
        }
        for row in transaction.remove {
            self.set(row.table, row.key, None);
        }
        Ok(json!({ "ver": self.version, "nowMs": 0 }))
    }

    /// Takes the changes since the last call, for the log.
    pub(super) fn take_unlogged(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.unlogged)
    }

    /// Returns the rows of a table that exist and whose keys are not below `from`, in the order of
    /// their keys.
    pub(super) fn read(&self, table: &str, from: &str) -> Vec<Value> {
        let is_in_page = |of: &str, key: &str| of == table && key >= from;
        let rows =
            self.rows.iter().filter(|((of, key), row)| is_in_page(of, key) && row.value.is_some());
        rows.map(|((table, key), row)| row_json(table, key, row)).collect()
    }

    fn set(&mut self, table: String, key: String, value: Option<String>) {
        let version = self.version;
        let row = StoredRow { value, version };
        self.unlogged.push(Change { table: table.clone(), key: key.clone(), row: row.clone() });
        self.rows.insert((table, key), row);
    }

    /// Returns the version of a row; zero if it does not exist.
    fn version_of(&self, expected: &TransactionRow) -> u64 {
        let row = self.rows.get(&(expected.table.clone(), expected.key.clone()));
        row.filter(|it| it.value.is_some()).map_or(0, |it| it.version)
    }

    /// Returns the current state of a row as JSON.
    fn current_row_json(&self, expected: &TransactionRow) -> Value {
        match self.rows.get(&(expected.table.clone(), expected.key.clone())) {
            Some(row) => row_json(&expected.table, &expected.key, row),
            None => json!({ "table": expected.table, "part": "", "key": expected.key, "ver": 0 }),
        }
    }
}

pub(super) fn row_json(table: &str, key: &str, row: &StoredRow) -> Value {
    match &row.value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": row.version })
        }
        None => {
            json!({ "table": table, "part": "", "key": key, "ver": row.version, "deleted": true })
        }
    }
}
