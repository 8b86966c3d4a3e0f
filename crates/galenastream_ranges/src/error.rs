//! Rows that cannot be used.

use thiserror::Error;

/// A row that holds no usable assignment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowError {
    /// The bytes cannot be decoded.
    #[error("the row cannot be decoded ({reason}); it has another writer or format version")]
    Undecodable {
        /// What the decoder reported.
        reason: String,
    },
    /// The entries do not cover every key exactly once.
    #[error("the entries leave out or repeat key {key}; another writer has changed the row")]
    KeyNotCoveredOnce {
        /// The first key that is not covered exactly once.
        key: u32,
    },
    /// An entry has a fencing token above the highest one that the row says was given.
    #[error("an entry has fencing token {fence}, above the highest one; the row is incomplete")]
    FenceAboveHighest {
        /// The token.
        fence: u64,
    },
    /// An entry names an owner that the row does not list.
    #[error("an entry names owner {index}, which the row does not list")]
    UnknownOwner {
        /// The index that is out of bounds.
        index: u32,
    },
}
