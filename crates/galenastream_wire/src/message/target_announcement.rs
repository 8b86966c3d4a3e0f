//! What a target announces about itself.

use prost::Message;

/// What an incarnation of a target announces in its responses, as far as the sender knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetAnnouncement {
    /// The request limit of the target, in thousandths of a request per second; `None` if it takes
    /// any number of requests.
    #[prost(uint64, optional, tag = "1")]
    pub limit_milli_per_s: Option<u64>,
    /// The time since the target announced that it leaves, in milliseconds; `None` if it has not.
    #[prost(uint64, optional, tag = "2")]
    pub leaving_for_ms: Option<u64>,
}
