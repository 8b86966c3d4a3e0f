//! The frame around each message between nodes.

use prost::Message;

/// One message on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The correlation id: a reply carries that of its request. Assigned by the side that opened
    /// the connection.
    #[prost(uint64, tag = "1")]
    pub correlation: u64,
    /// The message; `None` if the frame is empty or its message is of an unknown kind.
    #[prost(oneof = "peer_frame::Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<peer_frame::Body>,
}

/// The kinds of messages in a [`PeerFrame`].
pub mod peer_frame {
    use prost::Oneof;

    use crate::{
        Cancel, ForwardedReply, ForwardedRequest, NodeStatus, Part, StatusSeen, SyncQuery,
        SyncState, Withdrawal,
    };

    /// The message in a frame.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// The state of the sender.
        #[prost(message, tag = "2")]
        Status(NodeStatus),
        /// Acknowledges a `Status`.
        #[prost(message, tag = "3")]
        StatusSeen(StatusSeen),
        /// A request for the target beside the receiver.
        #[prost(message, tag = "4")]
        Request(ForwardedRequest),
        /// The reply to a `Request`.
        #[prost(message, tag = "5")]
        Reply(ForwardedReply),
        /// Cancels the request with the same correlation id.
        #[prost(message, tag = "6")]
        Cancel(Cancel),
        /// Asks for the config and the shared rows that the receiver knows.
        #[prost(message, tag = "7")]
        SyncQuery(SyncQuery),
        /// The reply to a `SyncQuery`.
        #[prost(message, tag = "8")]
        SyncState(SyncState),
        /// A part of a message that is longer than a frame.
        #[prost(message, tag = "9")]
        Part(Part),
        /// Withdraws the request with the same correlation id.
        #[prost(message, tag = "10")]
        Withdrawal(Withdrawal),
    }
}

/// Cancels a request whose reply is no longer wanted.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Cancel {}

/// Withdraws a request unless it has been sent to its target. Its reply is awaited in any case. Earlier
/// versions ignore it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Withdrawal {}
