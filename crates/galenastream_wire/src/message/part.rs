//! Parts of messages that are longer than a frame.

use prost::{Message, bytes::Bytes};

/// A part of the body of a message that is longer than a frame. The parts of one message carry its
/// correlation id and are sent in order; frames of other messages may come between them.
#[derive(Clone, PartialEq, Message)]
pub struct Part {
    /// The position of the part in the body.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The bytes of the body.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
    /// In the last part, the encoded frame of the message without its body; empty in the others.
    #[prost(bytes = "bytes", tag = "3")]
    pub message: Bytes,
}
