//! The headers of the interface, and the ones that are not passed on.

use bytes::Bytes;
use galenastream_wire::Header;
use http::{HeaderMap, HeaderName, HeaderValue, header};

/// The prefix of all headers of the interface.
pub const HEADER_PREFIX: &str = "galenastream-";
/// The key of a request.
pub const KEY: &str = "galenastream-key";
/// The time that is left to answer a request, in milliseconds.
pub const DEADLINE_MS: &str = "galenastream-deadline-ms";
/// A ticket.
pub const TICKET: &str = "galenastream-ticket";
/// The class of a request.
pub const CLASS: &str = "galenastream-class";
/// What became of a request.
pub const OUTCOME: &str = "galenastream-outcome";
/// Why a request did not run, or why nobody knows.
pub const REASON: &str = "galenastream-reason";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "galenastream-retry-after-ms";
/// Follows a request through logs.
pub const REQUEST_ID: &str = "galenastream-request-id";
/// The VM whose target ran a request.
pub const OWNER: &str = "galenastream-owner";
/// The slice of an order to the target.
pub const SLICE: &str = "galenastream-slice";
/// The epoch of an order to the target.
pub const EPOCH: &str = "galenastream-epoch";
/// The term of an order to the target.
pub const TERM: &str = "galenastream-term";
/// The deadline of an order to the target, in nanoseconds of the VM's boot clock.
pub const DEADLINE_BOOT_NS: &str = "galenastream-deadline-boot-ns";

const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// The end-to-end headers of a message. Leaves out hop-by-hop headers, the ones that `Connection`
/// names, the message's length, and the interface's own.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let mut kept = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_end_to_end(name, headers) {
            continue;
        }
        kept.push(Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    kept
}

/// Puts headers that another node sent into a message. Leaves out what is not a valid header.
pub fn append_all(headers: &mut HeaderMap, sent: &[Header]) {
    for header in sent {
        let Ok(name) = HeaderName::try_from(header.name.as_str()) else {
            continue;
        };
        let Ok(value) = HeaderValue::from_maybe_shared(header.value.clone()) else {
            continue;
        };
        headers.append(name, value);
    }
}

fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || *name == header::HOST {
        return false;
    }
    if name.as_str().starts_with(HEADER_PREFIX) {
        return false;
    }
    !is_named_by_connection(name, headers)
}

fn is_named_by_connection(name: &HeaderName, headers: &HeaderMap) -> bool {
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if value.split(',').any(|it| it.trim().eq_ignore_ascii_case(name.as_str())) {
            return true;
        }
    }
    false
}
