//! HTTP headers in messages.

use prost::{Message, bytes::Bytes};

/// An HTTP header of a request or a response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// The name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value, as raw bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
