//! Errors of reading and writing frames.

use thiserror::Error;

/// An error of reading or writing a frame. Nodes close the connection after it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The bytes are not a valid message, or the stream ended inside a frame.
    #[error(
        "the message is truncated or malformed ({reason}); close the connection and open another one"
    )]
    Malformed {
        /// The cause, as the decoder reports it.
        reason: String,
    },
    /// The message exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    #[error(
        "a message of {length_bytes} bytes is longer than the limit of {limit_bytes} bytes; send a smaller body"
    )]
    TooLong {
        /// The length of the message: when decoding, the length that its prefix announces.
        length_bytes: usize,
        /// The maximum length.
        limit_bytes: usize,
    },
    /// The connection failed.
    #[error("the connection failed ({reason}); open another one")]
    Connection {
        /// The cause, as the operating system reports it.
        reason: String,
    },
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}
