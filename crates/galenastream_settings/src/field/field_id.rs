//! Ids of fields.

use crate::{FIELDS, FieldSpec};

/// The id of a field: its position in [`FIELDS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldId(u8);

impl FieldId {
    /// Finds a field by its name.
    pub fn find(name: &str) -> Option<Self> {
        let position = FIELDS.iter().position(|spec| spec.name == name)?;
        u8::try_from(position).ok().map(Self)
    }

    /// Returns all fields in the order of [`FIELDS`].
    pub fn all() -> impl Iterator<Item = Self> {
        (0..FIELDS.len()).filter_map(|position| u8::try_from(position).ok().map(Self))
    }

    /// Returns the field's entry in [`FIELDS`].
    pub fn spec(self) -> &'static FieldSpec {
        &FIELDS[usize::from(self.0)]
    }

    /// Returns the name of the field.
    pub fn name(self) -> &'static str {
        self.spec().name
    }
}
