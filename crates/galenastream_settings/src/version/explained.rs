//! Which level each value came from.

use serde::Serialize;

use crate::Level;

/// A field with its value and the level that it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ExplainedField {
    /// The name of the field.
    pub field: &'static str,
    /// Its value, as TOML.
    pub value: String,
    /// The level that set it.
    pub level: Level,
    /// The table that set it, for example `services.booking.places.port-louis-1`.
    pub origin: String,
    /// The line that set it, `None` for a built-in default.
    pub line: Option<usize>,
}
