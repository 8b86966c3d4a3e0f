//! Fuzz tests of the codec of callers' requests. Each request that it accepts is the one that a
//! strict reader finds at the same place, so that no other reader can be made to see another
//! request. Bytes in pieces are read as in one piece, and few of them are kept.

use std::sync::LazyLock;

use bytes::{Bytes, BytesMut};
use galenastream_adapter::CallerLimits;
use galenastream_runtime::MemoryBudget;
use galenastream_standin::{Corpus, Pieces, StrictMessage, StrictReading, fuzz_config};
use http::Request;
use proptest::{collection::vec, prelude::*};
use tokio_util::codec::Decoder;

use super::{
    request_codec::{Incoming, RequestCodec},
    request_codec_tests::room,
};

const MAX_HEADER_BYTES: usize = 1_024;
const MAX_BODY_BYTES: usize = 96;

/// The longest line of a chunked body that the codec waits for.
const MAX_LINE_BYTES: usize = 1_024;

static REQUESTS: LazyLock<Corpus> = LazyLock::new(|| {
    Corpus::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/request"))
        .expect("the corpus is in the repository")
});

fn new_codec() -> RequestCodec<impl Fn() -> Option<CallerLimits>> {
    let limits = || {
        Some(CallerLimits {
            max_header_bytes: MAX_HEADER_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: 0,
            idle_timeout_ms: 0,
        })
    };
    RequestCodec::new(limits, room(MemoryBudget::new(usize::MAX)))
}

/// What the codec reads from a connection.
#[derive(Debug, PartialEq)]
struct Reading {
    /// The requests in the order of the connection.
    requests: Vec<ReadRequest>,
    /// Whether the rest of the connection was refused.
    is_refused: bool,
}

#[derive(Debug, PartialEq)]
struct ReadRequest {
    start: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl ReadRequest {
    fn new(request: &Request<Bytes>) -> Self {
        let headers = request.headers().iter();
        let mut headers: Vec<_> =
            headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
        // The order of different headers has no meaning.
        headers.sort_by(|a, b| a.0.cmp(&b.0));
        Self {
            start: format!("{} {} {:?}", request.method(), request.uri(), request.version()),
            headers,
            body: request.body().clone(),
        }
    }
}

/// Reads bytes that arrive in pieces.
fn read(pieces: &[&[u8]]) -> Reading {
    let mut codec = new_codec();
    let mut buffer = BytesMut::new();
    let mut reading = Reading { requests: Vec::new(), is_refused: false };
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(incoming) = codec.decode(&mut buffer).expect("no error of the connection") {
            assert!(!reading.is_refused, "read after an invalid request: {incoming:?}");
            match incoming {
                Incoming::Request(request, _) => {
                    assert!(request.body().len() <= MAX_BODY_BYTES);
                    reading.requests.push(ReadRequest::new(&request));
                }
                Incoming::ExpectsContinue => {}
                Incoming::Invalid { .. } => reading.is_refused = true,
            }
        }
        let max_kept = MAX_HEADER_BYTES.max(MAX_BODY_BYTES).max(MAX_LINE_BYTES);
        assert!(buffer.len() <= max_kept + piece.len(), "{} bytes are kept", buffer.len());
    }
    reading
}

/// Checks what the codec reads against a strict reader. Returns whether nothing is refused.
fn check_connection(bytes: &[u8], pieces: &Pieces) -> Result<bool, TestCaseError> {
    let reading = read(&[bytes]);
    prop_assert_eq!(&read(&pieces.of(bytes)), &reading, "in pieces");
    let mut rest = bytes;
    for request in &reading.requests {
        let strict = match StrictMessage::read_request(rest) {
            StrictReading::Complete(strict) => strict,
            other => {
                prop_assert!(
                    false,
                    "{:?} was accepted, the strict reading is {:?}",
                    request,
                    other
                );
                return Ok(false);
            }
        };
        prop_assert_eq!(&request.body[..], &strict.body[..]);
        let mut headers = strict.headers;
        headers.sort_by(|a, b| a.0.cmp(&b.0));
        prop_assert_eq!(&request.headers, &headers);
        rest = &rest[strict.length_bytes..];
    }
    Ok(!reading.is_refused)
}

#[test]
fn kept_requests_are_read_or_refused() {
    for document in REQUESTS.documents() {
        for length in [1, 2, 3, 7, 64] {
            let pieces = Pieces::of_length(length);
            let is_accepted = check_connection(&document.bytes, &pieces).expect(&document.name);
            assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
        }
    }
}

/// A valid request and the body that it carries.
fn valid_request() -> impl Strategy<Value = (Vec<u8>, Vec<u8>)> {
    let headers = vec(("X-[a-z]{1,8}", "[!-~]{0,12}"), 0..4);
    let chunks = vec((vec(any::<u8>(), 1..12), "(;[a-z]{1,4}(=[a-z]{1,4})?)?"), 0..4);
    let head = ("GET|POST|PUT|DELETE", "/[a-z/]{0,12}", headers);
    (head, chunks, any::<bool>()).prop_map(|((method, path, headers), chunks, is_chunked)| {
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: h\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        let body: Vec<u8> = chunks.iter().flat_map(|(chunk, _)| chunk.clone()).collect();
        if !is_chunked {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(&body);
            return (bytes, body);
        }
        bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        for (chunk, extension) in chunks {
            bytes.extend(format!("{:x}{extension}\r\n", chunk.len()).bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        (bytes, body)
    })
}

proptest! {
    #![proptest_config(fuzz_config(1_500))]

    #[test]
    fn mutated_requests_are_read_as_by_a_strict_reader_or_refused(
        bytes in REQUESTS.mutated(),
        pieces in Pieces::any(),
    ) {
        check_connection(&bytes, &pieces)?;
    }

    #[test]
    fn valid_requests_behind_each_other_are_read_as_exactly_these(
        requests in vec(valid_request(), 1..5),
        pieces in Pieces::any(),
    ) {
        let bytes: Vec<u8> = requests.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        prop_assert!(check_connection(&bytes, &pieces)?);
        let bodies: Vec<Bytes> =
            read(&pieces.of(&bytes)).requests.into_iter().map(|it| it.body).collect();
        let expected: Vec<Bytes> = requests.into_iter().map(|(_, body)| body.into()).collect();
        prop_assert_eq!(bodies, expected);
    }

    #[test]
    fn a_request_behind_mutated_bytes_is_read_only_where_a_strict_reader_finds_it(
        bytes in REQUESTS.mutated(),
        (request, _) in valid_request(),
        pieces in Pieces::any(),
    ) {
        check_connection(&[&bytes[..], &request].concat(), &pieces)?;
    }
}
