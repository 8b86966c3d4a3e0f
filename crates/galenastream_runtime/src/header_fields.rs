//! Conversion between HTTP headers and the headers in messages between nodes.

use bytes::Bytes;
use galenastream_wire::Header;
use http::{HeaderMap, HeaderName, HeaderValue, header};

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

/// Returns the end-to-end headers of a message: all but the hop-by-hop headers, those that
/// `Connection` names, `Host` and `Content-Length`.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
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

/// Appends headers that another node sent. Skips those that are not valid, and those that are not
/// end-to-end: a second length would let a reader find another message.
pub fn append_headers(headers: &mut HeaderMap, sent: &[Header]) {
    for header in sent {
        let Ok(name) = HeaderName::try_from(header.name.as_str()) else {
            continue;
        };
        if is_set_by_each_node(&name) {
            continue;
        }
        let Ok(value) = HeaderValue::from_maybe_shared(header.value.clone()) else {
            continue;
        };
        headers.append(name, value);
    }
}

fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    !is_set_by_each_node(name) && !is_named_by_connection(name, headers)
}

fn is_set_by_each_node(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || *name == header::HOST
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
