//! The frame that carries one message on a connection.

use prost::Message;

/// The longest frame that a node sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// One message on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Pairs a reply with its request. Chosen by the side that opened the connection.
    #[prost(uint64, tag = "1")]
    pub correlation: u64,
    /// The message.
    #[prost(oneof = "peer_frame::Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<peer_frame::Body>,
}

/// The kinds of messages in a [`PeerFrame`].
pub mod peer_frame {
    use prost::Oneof;

    use crate::{
        Answer, Cancel, Forward, RouteQuery, RouteReply, SettingsQuery, SettingsReply, TicketQuery,
        TicketReply,
    };

    /// A message.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// A request for the owner.
        #[prost(message, tag = "2")]
        Forward(Forward),
        /// The reply to a `Forward`.
        #[prost(message, tag = "3")]
        Answer(Answer),
        /// The sender no longer wants the reply to the `Forward` with the same correlation.
        #[prost(message, tag = "4")]
        Cancel(Cancel),
        /// Asks who owns a position.
        #[prost(message, tag = "5")]
        RouteQuery(RouteQuery),
        /// The reply to a `RouteQuery`.
        #[prost(message, tag = "6")]
        RouteReply(RouteReply),
        /// Asks the owner for a ticket.
        #[prost(message, tag = "7")]
        TicketQuery(TicketQuery),
        /// The reply to a `TicketQuery`.
        #[prost(message, tag = "8")]
        TicketReply(TicketReply),
        /// Asks for a version of the settings.
        #[prost(message, tag = "9")]
        SettingsQuery(SettingsQuery),
        /// The reply to a `SettingsQuery`.
        #[prost(message, tag = "10")]
        SettingsReply(SettingsReply),
    }
}

/// The sender no longer wants a reply.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Cancel {}
