//! The question who owns a position.

use prost::Message;

/// Asks who owns a position, or which members a service that is not divided by key has.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RouteQuery {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The position of the key.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// What the sender knows. A hint: only the owner's lease is authority.
#[derive(Clone, PartialEq, Message)]
pub struct RouteReply {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The term that the sender's knowledge comes from.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The VM of the cell's coordinator; zero if not known.
    #[prost(uint64, tag = "3")]
    pub coordinator: u64,
    /// The first position of the slice.
    #[prost(fixed64, tag = "4")]
    pub first: u64,
    /// The last position of the slice.
    #[prost(fixed64, tag = "5")]
    pub last: u64,
    /// The epoch of the slice.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// The VM of the owner; zero if the slice has none or it is not known.
    #[prost(uint64, tag = "7")]
    pub owner: u64,
    /// The members of a service that is not divided by key.
    #[prost(message, repeated, tag = "8")]
    pub members: Vec<RouteMember>,
}

/// A member of a service that is not divided by key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RouteMember {
    /// The VM.
    #[prost(uint64, tag = "1")]
    pub vm: u64,
    /// Slots of its target.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
}
