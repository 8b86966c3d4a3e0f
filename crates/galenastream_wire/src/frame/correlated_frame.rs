//! Frames that carry a correlation id.

use prost::Message;

use crate::{Cancel, PeerFrame, peer_frame};

/// A frame with a correlation id, which pairs a reply with its request.
///
/// Connections are generic over this trait.
pub trait CorrelatedFrame: Message + Default + Clone + Send + Sync + 'static {
    /// The message that a frame carries.
    type Body: std::fmt::Debug + Send + 'static;

    /// Creates a frame from a correlation id and a message.
    fn new(correlation: u64, body: Self::Body) -> Self;

    /// Returns the correlation id.
    fn correlation(&self) -> u64;

    /// Splits the frame into its correlation id and its message, which is `None` if the frame is
    /// empty or of an unknown kind.
    fn into_parts(self) -> (u64, Option<Self::Body>);

    /// Returns the message that cancels the request with the same correlation id.
    fn cancel() -> Self::Body;
}

impl CorrelatedFrame for PeerFrame {
    type Body = peer_frame::Body;

    fn new(correlation: u64, body: Self::Body) -> Self {
        Self { correlation, body: Some(body) }
    }

    fn correlation(&self) -> u64 {
        self.correlation
    }

    fn into_parts(self) -> (u64, Option<Self::Body>) {
        (self.correlation, self.body)
    }

    fn cancel() -> Self::Body {
        peer_frame::Body::Cancel(Cancel {})
    }
}
