//! Tickets, with which a request that must run at most once is asked again.

use prost::{Message, bytes::Bytes};

/// A ticket: the owner runs it once, and only during the assignment that it names.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct TicketToken {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The slice.
    #[prost(uint32, tag = "2")]
    pub slice: u32,
    /// The slice's epoch when the ticket was issued.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Counts the tickets of the slice and epoch.
    #[prost(uint64, tag = "4")]
    pub serial: u64,
}

/// Asks the owner of a key for a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TicketQuery {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The key.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
}

/// A ticket, or where else to ask.
#[derive(Clone, PartialEq, Message)]
pub struct TicketReply {
    /// The ticket.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketToken>,
    /// A better route, if the receiver is not the owner.
    #[prost(message, optional, tag = "2")]
    pub route: Option<crate::RouteReply>,
}
