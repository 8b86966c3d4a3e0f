//! Rows and objects in memory.

use std::sync::Mutex;

use bytes::Bytes;
use galenastream_ownership::FastMap;
use serde_json::{Map, Value};

/// A row of the table service: attributes in the protocol's own form.
pub(crate) type Attributes = Map<String, Value>;

/// Tables of the table service.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    rows: Mutex<FastMap<RowName, Attributes>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RowName {
    pub table: String,
    pub key: String,
}

/// The condition of a write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RowCondition {
    /// There is no row.
    Absent,
    /// An attribute has a value.
    AttributeIs { attribute: String, value: Value },
    /// None.
    Always,
}

impl Tables {
    pub(crate) fn get(&self, name: &RowName) -> Option<Attributes> {
        self.lock().get(name).cloned()
    }

    /// Writes a row if the condition holds. Returns whether it did.
    pub(crate) fn put(&self, name: RowName, row: Attributes, condition: &RowCondition) -> bool {
        let mut rows = self.lock();
        if !condition.holds(rows.get(&name)) {
            return false;
        }
        rows.insert(name, row);
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<RowName, Attributes>> {
        self.rows.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl RowCondition {
    fn holds(&self, row: Option<&Attributes>) -> bool {
        match self {
            Self::Absent => row.is_none(),
            Self::AttributeIs { attribute, value } => {
                row.is_some_and(|it| it.get(attribute) == Some(value))
            }
            Self::Always => true,
        }
    }
}

/// Objects of the object store, by path.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    objects: Mutex<FastMap<String, Bytes>>,
}

impl Objects {
    pub(crate) fn get(&self, path: &str) -> Option<Bytes> {
        self.lock().get(path).cloned()
    }

    /// Writes an object, or only a new one. Returns whether it did.
    pub(crate) fn put(&self, path: &str, content: Bytes, only_new: bool) -> bool {
        let mut objects = self.lock();
        if only_new && objects.contains_key(path) {
            return false;
        }
        objects.insert(path.to_owned(), content);
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
