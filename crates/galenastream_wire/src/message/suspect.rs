//! What nodes tell each other, and keep in the store, of requests that crash targets.

use prost::{Message, bytes::Bytes};

/// A request that was at work when targets crashed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectRecord {
    /// The fingerprint of the request, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// The crashes under it.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashEntry>,
    /// Method, host and path for operators; may be shortened, or empty.
    #[prost(string, tag = "3")]
    pub description: String,
    /// Whether the request is or was quarantined.
    #[prost(bool, tag = "4")]
    pub was_quarantined: bool,
}

/// A crash under a request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CrashEntry {
    /// A hash of the incarnation of the target that crashed.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Whether the request was already suspected when it was sent to that target.
    #[prost(bool, tag = "2")]
    pub was_suspected: bool,
    /// Whether the crash no longer counts against the request.
    #[prost(bool, tag = "3")]
    pub is_cleared: bool,
}
