//! The frame that carries one message on a connection.

use prost::Message;

/// One message on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Pairs a reply with its request. Chosen by the side that opened the connection.
    #[prost(uint64, tag = "1")]
    pub correlation: u64,
    /// The message.
    #[prost(oneof = "peer_frame::Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<peer_frame::Body>,
}

/// The kinds of messages in a [`PeerFrame`].
pub mod peer_frame {
    use prost::Oneof;

    use crate::{
        Cancel, ForwardedReply, ForwardedRequest, NodeStatus, StatusSeen, SyncQuery, SyncState,
    };

    /// A message.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// What a node says of itself.
        #[prost(message, tag = "2")]
        Status(NodeStatus),
        /// The reply to a `Status`.
        #[prost(message, tag = "3")]
        StatusSeen(StatusSeen),
        /// A request for the target beside the receiver.
        #[prost(message, tag = "4")]
        Request(ForwardedRequest),
        /// The reply to a `Request`.
        #[prost(message, tag = "5")]
        Reply(ForwardedReply),
        /// The sender no longer wants the reply to the request with the same correlation.
        #[prost(message, tag = "6")]
        Cancel(Cancel),
        /// Asks for what the receiver read from the store.
        #[prost(message, tag = "7")]
        SyncQuery(SyncQuery),
        /// The reply to a `SyncQuery`.
        #[prost(message, tag = "8")]
        SyncState(SyncState),
    }
}

/// The sender no longer wants a reply.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Cancel {}
