//! The row that tells whether the rows of an era of the store are in force.

use prost::Message;

/// The era of the store whose rows are in force. After a restore of the store from an older copy,
/// the row names an earlier era until every lease on lost rows has expired.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EraRow {
    /// The era in force.
    #[prost(uint64, tag = "1")]
    pub era: u64,
}
