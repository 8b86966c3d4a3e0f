//! Frames that pair a reply with its request.

use prost::Message;

use crate::{Cancel, PeerFrame, peer_frame};

/// A frame that pairs a reply with its request by a number.
pub trait CorrelatedFrame: Message + Default + Clone + Send + Sync + 'static {
    /// What a frame carries.
    type Body: Send + 'static;

    /// Creates a frame.
    fn new(correlation: u64, body: Self::Body) -> Self;

    /// Takes a frame apart.
    fn into_parts(self) -> (u64, Option<Self::Body>);

    /// The message that a reply is no longer wanted.
    fn cancel() -> Self::Body;
}

impl CorrelatedFrame for PeerFrame {
    type Body = peer_frame::Body;

    fn new(correlation: u64, body: Self::Body) -> Self {
        Self { correlation, body: Some(body) }
    }

    fn into_parts(self) -> (u64, Option<Self::Body>) {
        (self.correlation, self.body)
    }

    fn cancel() -> Self::Body {
        peer_frame::Body::Cancel(Cancel {})
    }
}
