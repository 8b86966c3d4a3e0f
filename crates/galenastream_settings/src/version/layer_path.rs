//! Paths of layers in the file.

use std::fmt;

use crate::Level;

/// The path of a layer. `Display` gives the path of its table in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LayerPath<'a> {
    /// The built-in defaults.
    BuiltIn,
    /// The table `[defaults]` of the file.
    Root,
    /// A service.
    Service { service: &'a str },
    /// A place of a service.
    Place { service: &'a str, place: &'a str },
    /// A key range of a service, in all places.
    KeyRange { service: &'a str, range: &'a str },
    /// A key range of a service, in one place.
    PlaceKeyRange { service: &'a str, place: &'a str, range: &'a str },
}

impl LayerPath<'_> {
    pub(crate) fn level(self) -> Level {
        match self {
            Self::BuiltIn => Level::BuiltIn,
            Self::Root => Level::Root,
            Self::Service { .. } => Level::Service,
            Self::Place { .. } => Level::Place,
            Self::KeyRange { .. } | Self::PlaceKeyRange { .. } => Level::KeyRange,
        }
    }
}

impl fmt::Display for LayerPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in"),
            Self::Root => f.write_str("defaults"),
            Self::Service { service } => write!(f, "services.{service}"),
            Self::Place { service, place } => write!(f, "services.{service}.places.{place}"),
            Self::KeyRange { service, range } => {
                write!(f, "services.{service}.key_ranges.{range}")
            }
            Self::PlaceKeyRange { service, place, range } => {
                write!(f, "services.{service}.places.{place}.key_ranges.{range}")
            }
        }
    }
}
