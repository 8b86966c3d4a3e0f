//! A request on its way to the owner of its key.

use prost::{Message, bytes::Bytes};

/// A request on its way from the node where it entered to the owner's node.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Follows the request through logs.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The service.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// The key; empty for a service that is not divided by key.
    #[prost(bytes = "bytes", tag = "3")]
    pub key: Bytes,
    /// The request's method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// The request's path below the service, with its query.
    #[prost(string, tag = "5")]
    pub path: String,
    /// The request's end-to-end headers.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Header>,
    /// The request's body, whole.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
    /// Time that is left of the caller's deadline when the frame is sent.
    #[prost(uint32, tag = "8")]
    pub deadline_ms: u32,
    /// The caller's ticket, if it has one.
    #[prost(message, optional, tag = "9")]
    pub ticket: Option<crate::TicketToken>,
    /// The request's class.
    #[prost(string, tag = "10")]
    pub class: String,
    /// The highest settings version in force at the sender.
    #[prost(uint64, tag = "11")]
    pub settings_version: u64,
}

/// A header of a request or a response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// The name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
