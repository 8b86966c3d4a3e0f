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
}
