//! A row of the table service.

use bytes::Bytes;
use galenastream_ownership::{RowVersion, WriteId};

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// The version; every write raises it by one.
    pub version: RowVersion,
    /// The write that made the version.
    pub write: WriteId,
    /// The content.
    pub payload: Bytes,
}
