//! What the table says about a field.

use crate::{FieldKind, Level};

/// What the table says about a field.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldSpec {
    /// The name, with the unit as its suffix.
    pub name: &'static str,
    /// What values it takes.
    pub kind: FieldKind,
    /// The built-in default, as TOML.
    pub default: &'static str,
    /// The lowest level that may set it.
    pub lowest_level: Level,
    /// What it does.
    pub description: &'static str,
}
