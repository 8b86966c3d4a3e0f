//! A write that tells how current an answer of the store is.

use galenastream_utils::BootInstant;

/// A write of a row that the store has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrittenRow {
    /// The version of the table after the write.
    pub version: u64,
    /// When the call was sent.
    pub sent_at: BootInstant,
}

impl WrittenRow {
    /// Returns an instant at which the rows of a full read were current, if the read proves that.
    ///
    /// The answer to a read may be seconds out of date. One that has this write was current when the
    /// write was sent, or later.
    pub fn confirmation_of_read(self, read_version: u64) -> Option<BootInstant> {
        (read_version >= self.version).then_some(self.sent_at)
    }
}
