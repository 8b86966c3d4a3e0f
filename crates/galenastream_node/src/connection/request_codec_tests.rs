//! Tests of the codec of callers' requests: what is read, what is refused, and no more than that.

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use super::request_codec::{Incoming, Outgoing, RequestCodec, RequestFault};

const MAX_HEADER_BYTES: usize = 512;
const MAX_BODY_BYTES: usize = 64;

/// What a codec makes of bytes that arrive in pieces of the given size.
fn read(bytes: &[u8], piece: usize) -> Vec<String> {
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
                Incoming::Refused(fault) => format!("{fault:?}"),
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
        assert_eq!(read(bytes, piece), expected, "in pieces of {piece}");
    }
}

#[test]
fn a_caller_that_waits_for_an_invitation_gets_one() {
    let bytes =
        b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(read(bytes, 16), ["continue?", "POST /a [ok]"]);
}

#[test]
fn what_could_be_read_in_two_ways_is_refused_and_nothing_behind_it_is_read() {
    let long_header = format!("X: {}", "x".repeat(MAX_HEADER_BYTES));
    let long_body = format!("Content-Length: {}", MAX_BODY_BYTES + 1);
    let cases = [
        ("Content-Length: 1\r\nContent-Length: 2", RequestFault::Malformed),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked", RequestFault::Malformed),
        ("Transfer-Encoding: gzip, chunked", RequestFault::Malformed),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", RequestFault::Malformed),
        ("Content-Length: +1", RequestFault::Malformed),
        ("Content-Length: 1 2", RequestFault::Malformed),
        ("Bad Name: x", RequestFault::Malformed),
        (&long_header, RequestFault::HeadersTooLong),
        (&long_body, RequestFault::BodyTooLong),
    ];
    for (header, fault) in cases {
        let bytes = format!(
            "POST /a HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        );
        assert_eq!(read(bytes.as_bytes(), bytes.len()), [format!("{fault:?}")], "{header}");
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let long = format!("{:x}\r\n", MAX_BODY_BYTES + 1);
    for chunks in ["zz\r\n", "2\r\nabc\r\n", "fffffffffffffffff\r\n", &long] {
        let bytes =
            format!("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        let seen = read(bytes.as_bytes(), bytes.len());
        assert!(
            matches!(seen[..], [ref it] if it == "Malformed" || it == "BodyTooLong"),
            "{chunks}"
        );
    }
}

#[test]
fn an_answer_is_written_with_its_length() {
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
    fn no_bytes_make_the_codec_panic_or_grow(
        bytes in prop::collection::vec(any::<u8>(), 0..2_048),
        piece in 1_usize..64,
    ) {
        read(&bytes, piece);
    }

    #[test]
    fn bytes_around_a_request_line_make_no_codec_panic(
        middle in "[ -~\r\n]{0,200}",
        piece in 1_usize..64,
    ) {
        let bytes = format!("POST /a HTTP/1.1\r\n{middle}\r\n\r\n{middle}");
        read(bytes.as_bytes(), piece);
    }
}
