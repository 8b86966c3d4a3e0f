//! Why bytes could not be read as a message.

use thiserror::Error;

/// Why bytes could not be read as a message. The receiver counts it and drops the bytes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The bytes do not begin like a message of this system.
    #[error("these bytes are no message of this system; check which program sends to this address")]
    Foreign,
    /// The message has another version of the format.
    #[error(
        "format version {found} is not supported (this program reads version {supported}); run the same release on both sides"
    )]
    Version {
        /// The version that was found.
        found: u8,
        /// The version that this program reads.
        supported: u8,
    },
    /// The bytes are cut off or damaged.
    #[error("the message is cut off or damaged ({reason}); the sender will repeat it")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
    /// A field that every message of this kind has is absent.
    #[error("the message has no `{field}`; run the same release on both sides")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field has a value that no sender of this release writes.
    #[error(
        "`{field}` of the message has the impossible value {value}; run the same release on both sides"
    )]
    Invalid {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
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
