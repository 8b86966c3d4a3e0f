//! Types and bounds of the values of fields.

use std::fmt;

/// The type and bounds of a field's values. `Display` describes them for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// An integer within bounds.
    Integer {
        /// The lowest value, inclusive.
        min: i64,
        /// The highest value, inclusive.
        max: i64,
    },
}

impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer { min, max } => write!(f, "a whole number from {min} to {max}"),
        }
    }
}
