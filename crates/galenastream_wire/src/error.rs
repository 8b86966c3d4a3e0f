//! Why bytes could not be read as a message.

use thiserror::Error;

/// Why bytes could not be read as a message. The receiver counts it and drops the bytes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The bytes are cut off or damaged.
    #[error("the message is cut off or damaged ({reason}); the sender will repeat it")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
    /// The message is longer than a receiver accepts.
    #[error(
        "a message of {length_bytes} bytes is longer than the limit of {limit_bytes} bytes; send a smaller body"
    )]
    TooLong {
        /// The length, as far as it is known.
        length_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// The connection failed, or ended inside a frame.
    #[error("the connection failed ({reason}); open another one")]
    Connection {
        /// What the operating system reported.
        reason: String,
    },
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed { reason: error.to_string() }
    }
}
