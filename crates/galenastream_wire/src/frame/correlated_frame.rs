//! Frames that carry a correlation id.

use prost::{Message, bytes::Bytes};

use crate::{Cancel, Part, PeerFrame, Withdrawal, peer_frame};

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

    /// Returns the length of the caller's or the target's body that the message carries; 0 if there
    /// is none.
    fn body_bytes(&self) -> usize;

    /// Takes the body out of the message.
    fn take_body(&mut self) -> Bytes;

    /// Puts a body into a message that carries one.
    fn set_body(&mut self, body: Bytes);

    /// Creates a frame that carries a part of a long message.
    fn from_part(correlation: u64, part: Part) -> Self;

    /// Takes the part out of the frame, if it carries one.
    fn take_part(&mut self) -> Option<Part>;

    /// Returns the message that cancels the request with the same correlation id.
    fn cancel() -> Self::Body;

    /// Returns the message that withdraws the request with the same correlation id.
    fn withdrawal() -> Self::Body;
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

    fn body_bytes(&self) -> usize {
        match &self.body {
            Some(peer_frame::Body::Request(request)) => request.body.len(),
            Some(peer_frame::Body::Reply(reply)) => reply.body.len(),
            _ => 0,
        }
    }

    fn take_body(&mut self) -> Bytes {
        match &mut self.body {
            Some(peer_frame::Body::Request(request)) => std::mem::take(&mut request.body),
            Some(peer_frame::Body::Reply(reply)) => std::mem::take(&mut reply.body),
            _ => Bytes::new(),
        }
    }

    fn set_body(&mut self, body: Bytes) {
        match &mut self.body {
            Some(peer_frame::Body::Request(request)) => request.body = body,
            Some(peer_frame::Body::Reply(reply)) => reply.body = body,
            _ => {}
        }
    }

    fn from_part(correlation: u64, part: Part) -> Self {
        Self { correlation, body: Some(peer_frame::Body::Part(part)) }
    }

    fn take_part(&mut self) -> Option<Part> {
        match &mut self.body {
            Some(peer_frame::Body::Part(part)) => Some(std::mem::take(part)),
            _ => None,
        }
    }

    fn cancel() -> Self::Body {
        peer_frame::Body::Cancel(Cancel {})
    }

    fn withdrawal() -> Self::Body {
        peer_frame::Body::Withdrawal(Withdrawal {})
    }
}
