//! Why an exchange has no whole response.

use thiserror::Error;

/// Why an exchange has no whole response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("the request was not sent ({reason}); it may be sent again on another connection")]
    NotSent {
        /// What the connection reported.
        reason: String,
    },
    /// The server may have processed the request.
    #[error(
        "the response is missing or incomplete ({reason}); repeat the request only if it is \
         idempotent"
    )]
    Unknown {
        /// What the connection reported.
        reason: String,
    },
}
