//! Errors of decoding a row.

use thiserror::Error;

/// An error of decoding a row into an assignment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowError {
    /// The bytes cannot be decoded.
    #[error("the row cannot be decoded ({reason}); another program or format version wrote it")]
    Undecodable {
        /// The error of the decoder.
        reason: String,
    },
    /// The entries leave out a key or cover it twice.
    #[error("the entries leave out or repeat key {key}; another program has changed the row")]
    KeyNotCoveredOnce {
        /// The first key that is not covered exactly once.
        key: u32,
    },
    /// An entry has a fencing token above the highest issued one that the row records.
    #[error(
        "an entry has fencing token {fence}, above the highest issued one; the row is incomplete"
    )]
    FenceAboveHighest {
        /// The fencing token of the entry.
        fence: u64,
    },
    /// The highest issued fencing token leaves no room for further ones.
    #[error("the highest issued fencing token is {fence}; another program has changed the row")]
    NoFurtherFence {
        /// The highest issued fencing token of the row.
        fence: u64,
    },
    /// An entry refers to an owner that the row does not list.
    #[error("an entry refers to owner {index}, which the row does not list; the row is incomplete")]
    UnknownOwner {
        /// The zero-based index that is out of bounds.
        index: u32,
    },
}
