//! What a response at the local target's address proves.
//!
//! Load pattern: targets in trouble answer requests with any status, at once or in bursts: from a
//! layer in front of the program that would have run the request, with the bytes of another
//! request, or from another target that has taken over the address.

use galenastream_adapter::header_names;
use http::{HeaderMap, StatusCode, header};

/// What a response proves about the request that it was read for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseProof {
    /// The target ran the request, and this is its answer.
    Answer,
    /// The target did not run the request.
    NotRun,
    /// Another target received the request and did not run it.
    Misdirected,
    /// Nothing: the response belongs to another request.
    Stray,
    /// Nothing: the response lacks the signature of the target, or cannot be an answer.
    Unsigned,
    /// The body is not the one that the target signed.
    Encoded,
}

impl ResponseProof {
    /// Returns what a response proves. `is_first` tells whether no other one was read on its connection
    /// before.
    pub(super) fn of(
        status: StatusCode,
        headers: &HeaderMap,
        (request_id, target_id): (&str, &str),
        is_first: bool,
    ) -> Self {
        let signature = only_value(headers, header_names::SIGNATURE);
        // A target signs only what it ran.
        let is_refusal = headers.contains_key(header_names::NOT_RUN)
            && matches!(signature, HeaderCount::None)
            && (status.is_client_error() || status.is_server_error());
        let is_misdirected = names_other_target(status, headers, target_id);
        match only_value(headers, header_names::REQUEST_ID) {
            HeaderCount::One(id) if id == request_id.as_bytes() => {}
            // A target that did not run the request may omit its id. On a connection that was used
            // before, the response may be the late copy of another refusal.
            HeaderCount::None if is_first && (is_refusal || is_misdirected) => {}
            HeaderCount::None | HeaderCount::One(_) | HeaderCount::Several => return Self::Stray,
        }
        if is_misdirected || is_refusal && status == StatusCode::MISDIRECTED_REQUEST {
            return Self::Misdirected;
        }
        if is_refusal {
            return Self::NotRun;
        }
        let is_signed = match signature {
            HeaderCount::One(signature) => !signature.trim_ascii().is_empty(),
            HeaderCount::None | HeaderCount::Several => false,
        };
        if !is_signed || !is_final_status(status.as_u16()) {
            return Self::Unsigned;
        }
        match headers.contains_key(header::CONTENT_ENCODING) {
            true => Self::Encoded,
            false => Self::Answer,
        }
    }

    /// The event of the log line about a response that is not accepted as an answer; `None` if it
    /// is one, or proves that the request did not run.
    pub(super) const fn unaccepted_event(self) -> Option<&'static str> {
        match self {
            Self::Answer | Self::NotRun | Self::Misdirected => None,
            Self::Stray => Some("target_answer_stray"),
            Self::Unsigned => Some("target_answer_unsigned"),
            Self::Encoded => Some("target_answer_encoded"),
        }
    }
}

/// Whether the last response to a request may have this status. Informational ones precede another
/// response, and others than those of the five classes do not exist.
pub(super) fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

enum HeaderCount<'a> {
    None,
    One(&'a [u8]),
    Several,
}

fn only_value<'a>(headers: &'a HeaderMap, name: &str) -> HeaderCount<'a> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => HeaderCount::None,
        (Some(value), None) => HeaderCount::One(value.as_bytes()),
        (Some(_), Some(_)) => HeaderCount::Several,
    }
}

/// Whether a misdirected request was answered in the name of another target than the one that it
/// expects.
fn names_other_target(status: StatusCode, headers: &HeaderMap, target_id: &str) -> bool {
    let named = headers.get(header_names::TARGET_ID);
    status == StatusCode::MISDIRECTED_REQUEST
        && named.is_some_and(|it| it.as_bytes() != target_id.as_bytes())
}
