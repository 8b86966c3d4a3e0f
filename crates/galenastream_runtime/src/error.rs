//! Errors of HTTP exchanges.

use thiserror::Error;

/// Why an exchange did not yield a complete response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("the request was not sent ({reason}); it may be sent again on another connection")]
    NotSent {
        /// The error of the connection.
        reason: String,
    },
    /// The server may have run the request.
    #[error(
        "the response is missing or incomplete ({reason}); repeat the request only if it is \
         idempotent"
    )]
    Unknown {
        /// The error of the connection.
        reason: String,
    },
    /// The server ran the request or may have, and its response is longer than this client accepts.
    #[error("the response has {bytes} bytes or more, which is too long; let the server send less")]
    TooLong {
        /// How long the body is at least; 0 if the head is too long.
        bytes: usize,
    },
}
