//! Declarations of places.

/// A place (data centre) that the tree declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceSettings {
    /// The name of the place.
    pub name: String,
    /// The line that declares the place.
    pub line: usize,
}
