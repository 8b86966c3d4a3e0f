//! Fields that a layer sets itself.

use std::collections::BTreeMap;

use crate::FieldId;

/// A value that a layer sets, with its line in the file.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SetField {
    pub(crate) value: toml::Value,
    pub(crate) line: usize,
}

/// The fields that a layer sets itself, without inherited ones.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct FieldSet {
    fields: BTreeMap<FieldId, SetField>,
}

impl FieldSet {
    pub(crate) fn insert(&mut self, field: FieldId, value: toml::Value, line: usize) {
        self.fields.insert(field, SetField { value, line });
    }

    pub(crate) fn get(&self, field: FieldId) -> Option<&SetField> {
        self.fields.get(&field)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (FieldId, &SetField)> {
        self.fields.iter().map(|(&field, set)| (field, set))
    }
}
