//! Entries of the table of fields.

use crate::{FieldKind, Level};

/// The specification of a field: an entry of [`FIELDS`](crate::FIELDS).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldSpec {
    /// The name, with the unit as its suffix.
    pub name: &'static str,
    /// The type and bounds of the values.
    pub kind: FieldKind,
    /// The built-in default, as a TOML value.
    pub default: &'static str,
    /// The lowest level at which the field may be set; all levels above it may set it too.
    pub lowest_level: Level,
    /// What the field does, for the reference page.
    pub description: &'static str,
}
