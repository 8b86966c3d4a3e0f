//! Tests of the codec of callers' requests: valid requests are read, invalid ones are rejected, and
//! nothing is read after an invalid one.

use std::{cell::Cell, sync::Arc};

use bytes::{Bytes, BytesMut};
use galenastream_adapter::CallerLimits;
use galenastream_routing::PortClients;
use galenastream_runtime::{ArrivalRoom, ConnectionSlots, MemoryBudget};
use http::{Response, StatusCode};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use super::{
    outgoing::Outgoing,
    request_codec::{Incoming, RequestCodec, RequestError},
};

pub(super) const MAX_HEADER_BYTES: usize = 512;
pub(super) const MAX_BODY_BYTES: usize = 64;

/// The memory for requests of a connection that is the only one.
pub(super) fn room(budget: Arc<MemoryBudget>) -> ArrivalRoom {
    ArrivalRoom::new(budget, ConnectionSlots::new("test", PortClients::Any, 1), Arc::default())
}

/// Decodes bytes that arrive in pieces of the given size, and returns a text for each item.
fn decode_in_pieces(bytes: &[u8], piece: usize) -> Vec<String> {
    decode_within(MAX_HEADER_BYTES, bytes, piece)
}

/// The same with another limit for the headers.
fn decode_within(max_header_bytes: usize, bytes: &[u8], piece: usize) -> Vec<String> {
    let limits = limits(max_header_bytes, MAX_BODY_BYTES);
    let mut codec = RequestCodec::new(|| Some(limits), room(MemoryBudget::new(usize::MAX)));
    let mut buffer = BytesMut::new();
    bytes.chunks(piece).flat_map(|it| decode_more(&mut codec, &mut buffer, it)).collect()
}

/// Decodes bytes that arrive on a connection, and returns a text for each item.
pub(super) fn decode_more(
    codec: &mut RequestCodec<impl Fn() -> Option<CallerLimits>>,
    buffer: &mut BytesMut,
    bytes: &[u8],
) -> Vec<String> {
    buffer.extend_from_slice(bytes);
    let mut seen = Vec::new();
    while let Some(incoming) = codec.decode(buffer).unwrap() {
        seen.push(match incoming {
            Incoming::Request(request, _) => {
                let body = String::from_utf8_lossy(request.body()).into_owned();
                format!("{} {} [{body}]", request.method(), request.uri())
            }
            Incoming::ExpectsContinue => "continue?".to_owned(),
            Incoming::Invalid { error, .. } => format!("{error:?}"),
        });
    }
    seen
}

pub(super) fn limits(max_header_bytes: usize, max_body_bytes: usize) -> CallerLimits {
    CallerLimits { max_header_bytes, max_body_bytes, header_timeout_ms: 1, idle_timeout_ms: 1 }
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
        ("Transfer-Encoding: gzip, chunked", RequestError::Unsupported),
        ("Transfer-Encoding: gzip", RequestError::Malformed),
        ("Transfer-Encoding: chunked, gzip", RequestError::Malformed),
        ("Transfer-Encoding:", RequestError::Malformed),
        ("Transfer-Encoding: xchunked", RequestError::Malformed),
        ("Content-Length: 1, 2", RequestError::Malformed),
        ("Content-Length: 1,", RequestError::Malformed),
        ("Content-Length:", RequestError::Malformed),
        ("Content-Length: -1", RequestError::Malformed),
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

/// Guards against limits that no config has set, and against those of an older config.
#[test]
fn limits_are_those_in_force_at_the_head_of_a_request_or_higher() {
    let post = |length: usize| format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n";
    let long_head = format!("GET /a HTTP/1.1\r\nX: {}", "x".repeat(20_000));
    let (none, low, high) = (None, Some(limits(100, 3)), Some(limits(40_000, 40)));
    let whole = format!("{}bbbb", post(4));
    // Limits and the bytes that arrive while they are in force, and what is read in the end.
    let cases = [
        (none, post(2_000_000), none, "", "LimitsUnknown"),
        (none, long_head.clone(), none, "", "LimitsUnknown"),
        (low, long_head.clone(), low, "", "HeadersTooLong"),
        (high, long_head, low, "", "HeadersTooLong"),
        (low, post(4), low, "", "BodyTooLong"),
        (none, post(4), low, "bbbb", "BodyTooLong"),
        (none, post(4), high, "bbbb", "POST /a [bbbb]"),
        (high, post(4), low, "bbbb", "POST /a [bbbb]"),
        (low, String::new(), high, whole.as_str(), "POST /a [bbbb]"),
        (high, String::new(), low, whole.as_str(), "BodyTooLong"),
        (low, chunked.to_owned(), high, "2\r\nbb\r\n0\r\n\r\n", "POST /a [bbbb]"),
        (high, chunked.to_owned(), low, "2\r\nbb\r\n0\r\n\r\n", "POST /a [bbbb]"),
        (low, chunked.to_owned(), low, "2\r\nbb\r\n0\r\n\r\n", "BodyTooLong"),
        (none, chunked.to_owned(), low, "2\r\nbb\r\n0\r\n\r\n", "BodyTooLong"),
        (none, chunked.to_owned(), none, "200000\r\n", "LimitsUnknown"),
    ];
    for (before, first, after, rest, expected) in cases {
        let in_force = Cell::new(before);
        let mut codec = RequestCodec::new(|| in_force.get(), room(MemoryBudget::new(usize::MAX)));
        let mut buffer = BytesMut::new();
        let mut seen = decode_more(&mut codec, &mut buffer, first.as_bytes());
        in_force.set(after);
        seen.extend(decode_more(&mut codec, &mut buffer, rest.as_bytes()));
        assert_eq!(seen, [expected], "{before:?}, {first:.60}, {after:?}, {rest}");
    }
}

/// Guards against a bound on the number of headers beside that on their length.
#[test]
fn the_number_of_headers_is_not_limited() {
    for count in [127, 128, 129, 130, 1_000, 5_000] {
        let lines: String = (0..count).map(|it| format!("a{it}:\r\n")).collect();
        let bytes = format!("\r\nGET /a HTTP/1.1\r\n{lines}\r\nGET /b HTTP/1.1\r\n\r\n");
        for piece in [7, 1_000, bytes.len()] {
            let seen = decode_within(65_536, bytes.as_bytes(), piece);
            assert_eq!(seen, ["GET /a []", "GET /b []"], "{count} headers in pieces of {piece}");
        }
        // The limit on the length holds for them.
        let seen = decode_within(lines.len(), bytes.as_bytes(), bytes.len());
        assert_eq!(seen, ["HeadersTooLong"], "{count} headers");
    }
}

/// Guards against a bound on the lines of chunked bodies beside that on headers.
#[test]
fn lines_of_chunked_bodies_may_be_as_long_as_the_headers() {
    let head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (long, spaces, zeros) = ("x".repeat(6_000), " ".repeat(6_000), "0".repeat(6_000));
    for body in [
        format!("3;e={long}\r\nabc\r\n0\r\n\r\n"),
        format!("3\r\nabc\r\n0;e={long}\r\n\r\n"),
        format!("3{spaces}\r\nabc\r\n0\r\n\r\n"),
        format!("{zeros}3\r\nabc\r\n{zeros}\r\n\r\n"),
        format!("3\r\nabc\r\n0\r\nT: {long}\r\nU: {long}\r\n\r\n"),
    ] {
        let bytes = format!("{head}{body}GET /b HTTP/1.1\r\n\r\n");
        for piece in [1_000, bytes.len()] {
            let seen = decode_within(8_192, bytes.as_bytes(), piece);
            assert_eq!(seen, ["POST /a [abc]", "GET /b []"], "in pieces of {piece}");
            // The limit holds for them, also before the end of the line has arrived.
            for arrived in [bytes.as_bytes(), &bytes.as_bytes()[..head.len() + 5_000]] {
                let seen = decode_within(4_096, arrived, piece);
                assert_eq!(seen, ["HeadersTooLong"], "in pieces of {piece}");
            }
        }
    }
}

/// Guards against 400 for requests that RFC 9110 and RFC 9112 allow.
#[test]
fn unusual_but_valid_requests_are_read() {
    let chunked = "1\r\nb\r\n0\r\n\r\n";
    let cases = [
        ("Content-Length: 1, 1", "b"),
        ("Content-Length: 1\r\nContent-Length: 1", "b"),
        ("Content-Length: 000000000000000000000000000001", "b"),
        ("Transfer-Encoding: \t CHUNKED ", chunked),
        ("Transfer-Encoding: chunked,", chunked),
        ("Transfer-Encoding:\r\nTransfer-Encoding: chunked", chunked),
        ("Transfer-Encoding: chunked", "00000000000000000000001 ; e\r\nb\r\n00\r\n\r\n"),
        ("Transfer-Encoding: chunked", "1;e=\"a;b\"\r\nb\r\n0\r\nT: t\r\n\r\n"),
        ("Transfer-Encoding: chunked", "1\r\nb\r\n0\r\n!#$%&'*+-.^_`|~9:\r\nU:\t\u{e4}\r\n\r\n"),
    ];
    for (header, body) in cases {
        let bytes = format!("\r\n\r\nPOST /a HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\n{body}");
        for piece in [1, 5, bytes.len()] {
            let seen = decode_in_pieces(bytes.as_bytes(), piece);
            assert_eq!(seen, ["POST /a [b]"], "{header}, {body:?} in pieces of {piece}");
        }
    }
}

/// Guards against 400 for targets with any of the characters and forms that RFC 3986 and RFC 9112
/// allow.
#[test]
fn all_valid_targets_are_read() {
    let path = "/AZaz09-._~%2F!$&'()*+,;=:@//";
    for target in [
        path.to_owned(),
        format!("{path}?{path}?"),
        format!("http://h.example:80{path}?{path}"),
        "http://[::1]:80/".to_owned(),
        "*".to_owned(),
    ] {
        let bytes = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(decode_in_pieces(bytes.as_bytes(), 16), [format!("GET {target} []")]);
    }
}

/// Guards against a length beyond the numbers of the node that counts as malformed.
#[test]
fn a_length_beyond_all_numbers_is_too_long() {
    let digits = "9".repeat(30);
    for (header, body) in [
        (format!("Content-Length: {digits}"), String::new()),
        ("Transfer-Encoding: chunked".to_owned(), format!("{digits}\r\n")),
    ] {
        let bytes = format!("POST /a HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\n{body}");
        assert_eq!(decode_in_pieces(bytes.as_bytes(), bytes.len()), ["BodyTooLong"]);
    }
}

/// Guards against 400 for valid requests that the node cannot represent.
#[test]
fn valid_requests_that_the_node_cannot_serve_are_not_malformed() {
    let long = "x".repeat(70_000);
    let names: String = (0..40_000).map(|it| format!("a{it}:\r\n")).collect();
    for bytes in [
        format!("GET /{long} HTTP/1.1\r\n\r\n"),
        format!("GET /a HTTP/1.1\r\n{long}: x\r\n\r\n"),
        format!("GET /a HTTP/1.1\r\n{names}\r\n"),
        "GET /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_owned(),
    ] {
        assert_eq!(decode_within(1_000_000, bytes.as_bytes(), bytes.len()), ["Unsupported"]);
    }
}

/// Guards against an interim response that a caller with HTTP/1.0 takes for the answer.
#[test]
fn expect_continue_is_ignored_in_http_1_0() {
    let bytes = b"POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(decode_in_pieces(bytes, 16), ["POST /a [ok]"]);
}

/// Guards against a body that ends early and looks complete.
#[test]
fn an_empty_line_in_place_of_a_chunk_does_not_end_the_body() {
    let bytes = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n\r\n\r\n";
    for piece in [1, 5, bytes.len()] {
        assert_eq!(decode_in_pieces(bytes, piece), ["Malformed"]);
    }
}

/// Guards against another request in lines that other readers do not take for trailers.
#[test]
fn trailers_that_are_no_field_lines_are_rejected() {
    for trailers in [
        "T: t\nU: u",
        "T: t\rU: u",
        "T: t\r\nGET / HTTP/1.1",
        "GET / HTTP/1.1",
        "GET /:a HTTP/1.1",
        "T",
        ": t",
        "T : t",
        " T: t",
        "T: t\r\n u",
        "T: \0",
        "T: \x7f",
        "T\u{e4}: t",
    ] {
        let head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let bytes = format!("{head}0\r\n{trailers}\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        for piece in [1, 5, bytes.len()] {
            let seen = decode_in_pieces(bytes.as_bytes(), piece);
            assert_eq!(seen, ["Malformed"], "{trailers:?} in pieces of {piece}");
        }
    }
}

/// Guards against a body that a reader of HTTP/1.0 does not find: RFC 9112, section 6.1.
#[test]
fn transfer_encoding_in_http_1_0_is_rejected() {
    for headers in [
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding:",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
    ] {
        let bytes = format!("POST /a HTTP/1.0\r\n{headers}\r\n\r\n0\r\n\r\n");
        assert_eq!(decode_in_pieces(bytes.as_bytes(), 7), ["Malformed"], "{headers}");
    }
}

#[test]
fn malformed_chunks_are_rejected() {
    let long = format!("{:x}\r\n", MAX_BODY_BYTES + 1);
    for chunks in [
        "zz\r\n",
        "z",
        "2\r\nabc\r\n",
        "2\nab\n",
        ";e\r\n",
        " 2\r\nab\r\n",
        "2 2\r\n",
        "2;e\nf\r\n",
        "fffffffffffffffff\r\n",
        &long,
    ] {
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
    let mut codec = RequestCodec::new(|| None, room(MemoryBudget::new(usize::MAX)));
    let mut buffer = BytesMut::new();
    let mut response = Response::new(Bytes::from_static(b"hello"));
    *response.status_mut() = StatusCode::CREATED;
    response.headers_mut().insert("x-a", http::HeaderValue::from_static("b"));
    codec.encode(Outgoing::Response { response, is_to_head: false }, &mut buffer).unwrap();
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
