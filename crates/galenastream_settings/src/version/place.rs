//! A place that the tree declares.

/// A place (data centre) that the tree declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceSettings {
    /// Its name.
    pub name: String,
    /// The line that declares it.
    pub line: usize,
}
