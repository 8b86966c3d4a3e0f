//! The id of a field.

use crate::{FIELDS, FieldSpec};

/// A field, as its position in [`FIELDS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldId(u8);

impl FieldId {
    /// The field with this name.
    pub fn find(name: &str) -> Option<Self> {
        let position = FIELDS.iter().position(|spec| spec.name == name)?;
        u8::try_from(position).ok().map(Self)
    }

    /// All fields, in the order of the table.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..FIELDS.len()).filter_map(|position| u8::try_from(position).ok().map(Self))
    }

    /// What the table says about the field.
    pub fn spec(self) -> &'static FieldSpec {
        &FIELDS[usize::from(self.0)]
    }

    /// The name of the field.
    pub fn name(self) -> &'static str {
        self.spec().name
    }
}
