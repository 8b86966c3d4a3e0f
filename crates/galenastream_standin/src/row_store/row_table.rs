//! The rows of a store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::{Value, json};

/// The rows of a store, of all tables.
#[derive(Debug, Default)]
pub(super) struct RowTable {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

#[derive(Debug)]
struct StoredRow {
    /// `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Transaction {
    #[serde(rename = "expectedRev", default)]
    expected: Vec<NamedRow>,
    #[serde(default)]
    puts: Vec<NamedRow>,
    #[serde(default)]
    remove: Vec<NamedRow>,
}

#[derive(Debug, Deserialize)]
struct NamedRow {
    table: String,
    key: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    value: String,
}

impl RowTable {
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Applies a transaction; `Err` lists the expected rows as they are.
    pub(super) fn apply(&mut self, transaction: Transaction) -> Result<Value, Value> {
        let holds = transaction.expected.iter().all(|it| self.version_of(it) == it.ver);
        if !holds {
            let rows: Vec<Value> = transaction.expected.iter().map(|it| self.show(it)).collect();
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

    /// The rows of a table that changed after a version.
    pub(super) fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let mut changed: Vec<_> =
            self.rows.iter().filter(|((of, _), row)| of == table && row.version > after).collect();
        changed.sort_by_key(|(_, row)| row.version);
        changed.into_iter().map(|((table, key), row)| show(table, key, row)).collect()
    }

    /// The rows of a table that exist.
    pub(super) fn read(&self, table: &str) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((of, _), row)| of == table && row.value.is_some());
        rows.map(|((table, key), row)| show(table, key, row)).collect()
    }

    fn set(&mut self, table: String, key: String, value: Option<String>) {
        let version = self.version;
        self.rows.insert((table, key), StoredRow { value, version });
    }

    fn version_of(&self, named: &NamedRow) -> u64 {
        let row = self.rows.get(&(named.table.clone(), named.key.clone()));
        row.filter(|it| it.value.is_some()).map_or(0, |it| it.version)
    }

    fn show(&self, named: &NamedRow) -> Value {
        match self.rows.get(&(named.table.clone(), named.key.clone())) {
            Some(row) => show(&named.table, &named.key, row),
            None => json!({ "table": named.table, "part": "", "key": named.key, "ver": 0 }),
        }
    }
}

fn show(table: &str, key: &str, row: &StoredRow) -> Value {
    match &row.value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": row.version })
        }
        None => {
            json!({ "table": table, "part": "", "key": key, "ver": row.version, "deleted": true })
        }
    }
}
