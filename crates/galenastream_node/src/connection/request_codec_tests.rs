//! Tests of the codec of callers' requests: valid requests are read, invalid ones are rejected, and
//! nothing is read after an invalid one.

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use super::request_codec::{Incoming, Outgoing, RequestCodec, RequestError};

const MAX_HEADER_BYTES: usize = 512;
const MAX_BODY_BYTES: usize = 64;

/// Decodes bytes that arrive in pieces of the given size, and returns a text for each item.
fn decode_in_pieces(bytes: &[u8], piece: usize) -> Vec<String> {
    let mut codec = RequestCodec::new(MAX_HEADER_BYTES, MAX_BODY_BYTES);
    let mut buffer = BytesMut::new();
    let mut seen = Vec::new();
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        while let Some(incoming) = codec.decode(&mut buffer).unwrap() {
            seen.push(match incoming {
                Incoming::Request(request) => {
                    let body = String::from_utf8_lossy(request.body()).into_owned();
                    format!("{} {} [{body}]", request.method(), request.uri())
                }
                Incoming::ExpectsContinue => "continue?".to_owned(),
                Incoming::Invalid { error, .. } => format!("{error:?}"),
            });
        }
    }
    seen
}

#[test]
fn requests_are_read_however_their_bytes_arrive() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n\
        POST /b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\
        PUT /e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n\
        GET /f HTTP/1.1\r\nHost: h\r\n\r\n";
    let expected = ["GET /a []", "POST /b?c=d [hello]", "PUT /e [abcde]", "GET /f []"];
    for piece in [1, 2, 3, 7, 64, bytes.len()] {
        assert_eq!(decode_in_pieces(bytes, piece), expected, "in pieces of {piece}");
    }
}

#[test]
fn expect_continue_is_reported_before_the_request() {
    let bytes =
        b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(decode_in_pieces(bytes, 16), ["continue?", "POST /a [ok]"]);
}

#[test]
fn invalid_requests_are_rejected_and_nothing_after_them_is_read() {
    let long_header = format!("X: {}", "x".repeat(MAX_HEADER_BYTES));
    let long_body = format!("Content-Length: {}", MAX_BODY_BYTES + 1);
    let cases = [
        ("Content-Length: 1\r\nContent-Length: 2", RequestError::Malformed),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked", RequestError::Malformed),
        ("Transfer-Encoding: gzip, chunked", RequestError::Malformed),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", RequestError::Malformed),
        ("Content-Length: +1", RequestError::Malformed),
        ("Content-Length: 1 2", RequestError::Malformed),
        ("Bad Name: x", RequestError::Malformed),
        (&long_header, RequestError::HeadersTooLong),
        (&long_body, RequestError::BodyTooLong),
    ];
    for (header, error) in cases {
        let bytes = format!(
            "POST /a HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        );
        assert_eq!(
            decode_in_pieces(bytes.as_bytes(), bytes.len()),
            [format!("{error:?}")],
            "{header}"
        );
    }
}

#[test]
fn malformed_chunks_are_rejected() {
    let long = format!("{:x}\r\n", MAX_BODY_BYTES + 1);
    for chunks in ["zz\r\n", "2\r\nabc\r\n", "fffffffffffffffff\r\n", &long] {
        let bytes =
            format!("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        let seen = decode_in_pieces(bytes.as_bytes(), bytes.len());
        assert!(
            matches!(seen[..], [ref it] if it == "Malformed" || it == "BodyTooLong"),
            "{chunks}"
        );
    }
}

#[test]
fn a_response_is_written_with_its_length() {
    let mut codec = RequestCodec::new(MAX_HEADER_BYTES, MAX_BODY_BYTES);
    let mut buffer = BytesMut::new();
    let mut response = Response::new(Bytes::from_static(b"hello"));
    *response.status_mut() = StatusCode::CREATED;
    response.headers_mut().insert("x-a", http::HeaderValue::from_static("b"));
    codec.encode(Outgoing::Response(response), &mut buffer).unwrap();
    let expected = "HTTP/1.1 201 Created\r\nx-a: b\r\ncontent-length: 5\r\n\r\nhello";
    assert_eq!(String::from_utf8_lossy(&buffer), expected);
}

proptest! {
    #[test]
    fn random_bytes_do_not_make_the_codec_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..2_048),
        piece in 1_usize..64,
    ) {
        decode_in_pieces(&bytes, piece);
    }

    #[test]
    fn random_headers_and_bodies_do_not_make_the_codec_panic(
        middle in "[ -~\r\n]{0,200}",
        piece in 1_usize..64,
    ) {
        let bytes = format!("POST /a HTTP/1.1\r\n{middle}\r\n\r\n{middle}");
        decode_in_pieces(bytes.as_bytes(), piece);
    }
}
