//! Why a request to the platform failed, and what is known about its effect.

use thiserror::Error;

/// Why a read failed. A read may always be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GetError {
    /// The service did not answer.
    #[error(
        "the platform did not answer ({reason}); try again, and check `platform` in the node's settings if it goes on"
    )]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The service refused the request.
    #[error(
        "the platform refused the read ({reason}); check the names of table and bucket in the node's settings"
    )]
    Refused {
        /// The service's own words.
        reason: String,
    },
    /// The service answered something that is not a row or object of this system.
    #[error(
        "the platform's answer cannot be read ({reason}); check that no other program writes to this table or bucket"
    )]
    Damaged {
        /// What was found.
        reason: String,
    },
}

/// Why a write failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PutError {
    /// The row or object was no longer as expected. The write did not and will not take effect.
    #[error("another writer was first; read again and decide anew")]
    Conflict,
    /// Nobody knows whether the write took effect, now or later.
    #[error(
        "it is not known whether the write took effect ({reason}); read until it shows or the version rules it out"
    )]
    Unknown {
        /// What happened.
        reason: String,
    },
    /// No byte of the write can have reached the service.
    #[error("the write was not sent ({reason}); send it again")]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// The service refused the write. It did not and will not take effect.
    #[error(
        "the platform refused the write ({reason}); check the names of table and bucket in the node's settings, and the service's limits"
    )]
    Refused {
        /// The service's own words.
        reason: String,
    },
}
