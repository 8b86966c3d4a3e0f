//! Levels of inheritance.

use std::fmt;

use serde::Serialize;

/// A level of inheritance, ordered from the built-in defaults down to a key range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// The defaults that are compiled in.
    BuiltIn,
    /// The table `[defaults]` of the file.
    Root,
    /// A service.
    Service,
    /// A place of a service.
    Place,
    /// A key range of a service, in all its places or in one.
    KeyRange,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::BuiltIn => "built-in",
            Self::Root => "root",
            Self::Service => "service",
            Self::Place => "place",
            Self::KeyRange => "key range",
        };
        f.pad(name)
    }
}
