//! What is written to the connections of callers.

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};

/// The longest part of a body that is copied into the buffer of its connection. The rest waits where its
/// memory is accounted for.
pub(super) const WRITE_BYTES: usize = 32 * 1024;

/// An item written to a caller's connection.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// A response. A body of more than [`WRITE_BYTES`] follows in parts.
    Response {
        response: Response<Bytes>,
        /// Whether its request only asks for the head. Then no body follows.
        is_to_head: bool,
    },
    /// A part of a long body.
    Part(Bytes),
    /// `100 Continue`.
    Continue,
}

/// Writes an item into the buffer of a connection.
pub(super) fn encode_outgoing(outgoing: &Outgoing, buffer: &mut BytesMut) {
    let (response, is_to_head) = match outgoing {
        Outgoing::Response { response, is_to_head } => (response, *is_to_head),
        Outgoing::Part(part) => {
            buffer.extend_from_slice(part);
            return;
        }
        Outgoing::Continue => {
            buffer.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            return;
        }
    };
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    buffer.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for (name, value) in response.headers() {
        buffer.extend_from_slice(name.as_str().as_bytes());
        buffer.extend_from_slice(b": ");
        buffer.extend_from_slice(value.as_bytes());
        buffer.extend_from_slice(b"\r\n");
    }
    if !has_body(status, is_to_head) {
        buffer.extend_from_slice(b"\r\n");
        return;
    }
    let length = response.body().len();
    buffer.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
    if length <= WRITE_BYTES {
        buffer.extend_from_slice(response.body());
    }
}

/// Whether a body follows the head of a response.
pub(super) fn has_body(status: StatusCode, is_to_head: bool) -> bool {
    !is_to_head && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
