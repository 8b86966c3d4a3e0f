//! The origins of resolved values.

use serde::Serialize;

use crate::Level;

/// The resolved value of a field, with its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ExplainedField {
    /// The name of the field.
    pub field: &'static str,
    /// The value, as TOML.
    pub value: String,
    /// The level that sets the value.
    pub level: Level,
    /// The table that sets the value, for example `services.booking.places.port-louis-1`.
    pub origin: String,
    /// The line that sets the value; `None` for a built-in default.
    pub line: Option<usize>,
}
