//! The kinds of values.

use std::fmt;

/// What values a field takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldKind {
    /// `true` or `false`.
    Bool,
    /// A whole number within bounds.
    Integer {
        /// The lowest value.
        min: i64,
        /// The highest value.
        max: i64,
    },
    /// The name of a class.
    ClassName,
    /// A list of classes, each with a name and a priority.
    Classes,
    /// A list of HTTP methods.
    Methods,
}

impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool => f.write_str("true or false"),
            Self::Integer { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::ClassName => f.write_str("the name of one of the classes"),
            Self::Classes => f.write_str(
                "a list of 1 to 16 classes like { name = \"payment\", priority = 9 }, priority from 0 to 255",
            ),
            Self::Methods => f.write_str("a list of HTTP methods like [\"GET\", \"HEAD\"]"),
        }
    }
}
