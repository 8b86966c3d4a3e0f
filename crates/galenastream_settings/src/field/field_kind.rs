//! The kinds of values.

use std::fmt;

/// What values a field takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A whole number within bounds.
    Integer {
        /// The lowest value.
        min: i64,
        /// The highest value.
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
