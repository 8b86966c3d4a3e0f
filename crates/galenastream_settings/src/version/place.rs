//! A place that the tree declares.

use galenastream_ownership::PlaceId;

/// A place (data centre) that the tree declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceSettings {
    /// The place.
    pub id: PlaceId,
    /// Its name.
    pub name: String,
    /// The region it lies in. A cell and its witnesses never span regions.
    pub region: String,
    /// The line that declares it.
    pub line: usize,
}
