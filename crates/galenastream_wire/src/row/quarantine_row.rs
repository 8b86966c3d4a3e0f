//! The row of the requests that are refused because they crash targets.

use prost::Message;

use crate::SuspectRecord;

/// The requests that are or were quarantined, by ascending fingerprint. Those that were released stay
/// in it, so that no node takes the suspicion up again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuarantineRow {
    /// The requests.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<SuspectRecord>,
}
