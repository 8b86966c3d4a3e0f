//! Requests that break a rule of the interface.

use http::StatusCode;
use thiserror::Error;

/// Why a request is refused before it is routed. It never ran.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The path names no service.
    #[error("the path names no service; send requests to /SERVICE/...")]
    NoService,
    /// The service is not known.
    #[error(
        "service \"{service}\" is not known; `galenastreamctl settings show` lists the services"
    )]
    UnknownService {
        /// The name in the path.
        service: String,
    },
    /// The key is missing.
    #[error("header galenastream-key is missing; this service is divided by key")]
    KeyMissing,
    /// The key is empty or too long.
    #[error("header galenastream-key has {length_bytes} bytes; allowed are 1 to {limit_bytes}")]
    KeyLength {
        /// The length of the key.
        length_bytes: usize,
        /// The longest key.
        limit_bytes: u32,
    },
    /// A header of the interface stands more than once.
    #[error("header {header} stands more than once; send it once")]
    HeaderRepeated {
        /// The header.
        header: &'static str,
    },
    /// The deadline is not a number, or out of its range.
    #[error(
        "galenastream-deadline-ms = \"{value}\"; allowed are whole numbers from 1 to {limit_ms}"
    )]
    Deadline {
        /// The value as it was given.
        value: String,
        /// The longest deadline.
        limit_ms: u32,
    },
    /// The ticket is not one.
    #[error(
        "galenastream-ticket = \"{value}\" is no ticket; obtain one by POST to /SERVICE/galenastream/ticket"
    )]
    Ticket {
        /// The value as it was given.
        value: String,
    },
    /// The class is not known.
    #[error("galenastream-class = \"{value}\" is not known; allowed are: {allowed}")]
    Class {
        /// The value as it was given.
        value: String,
        /// The classes of the service.
        allowed: String,
    },
    /// The body is too long.
    #[error("the body is longer than {limit_bytes} bytes; send a smaller one")]
    BodyTooLong {
        /// The longest body.
        limit_bytes: u64,
    },
    /// The body ended before its announced length, or broke the protocol.
    #[error("the body is cut off; send it whole")]
    BodyCut,
    /// The body did not arrive in time.
    #[error("the body did not arrive before the deadline; send it faster or allow more time")]
    BodyTimeout,
    /// The path below the service cannot be passed on.
    #[error("the path cannot be passed on; send an absolute path")]
    Path,
    /// Tickets exist only for services that are divided by key.
    #[error(
        "service \"{service}\" is not divided by key, so it has no tickets; send the request without one"
    )]
    NoTickets {
        /// The service.
        service: String,
    },
}

impl Refusal {
    /// The status of the answer.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoService | Self::UnknownService { .. } => StatusCode::NOT_FOUND,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::KeyMissing
            | Self::KeyLength { .. }
            | Self::HeaderRepeated { .. }
            | Self::Deadline { .. }
            | Self::Ticket { .. }
            | Self::Class { .. }
            | Self::BodyCut
            | Self::Path
            | Self::NoTickets { .. } => StatusCode::BAD_REQUEST,
        }
    }

    /// The word in answers and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::UnknownService { .. } => "unknown-service",
            Self::KeyMissing => "key-missing",
            Self::KeyLength { .. } => "key-length",
            Self::HeaderRepeated { .. } => "header-repeated",
            Self::Deadline { .. } => "deadline-invalid",
            Self::Ticket { .. } => "ticket-invalid",
            Self::Class { .. } => "class-unknown",
            Self::BodyTooLong { .. } => "body-too-long",
            Self::BodyCut => "body-cut",
            Self::BodyTimeout => "body-timeout",
            Self::Path => "path-invalid",
            Self::NoTickets { .. } => "no-tickets",
        }
    }
}
