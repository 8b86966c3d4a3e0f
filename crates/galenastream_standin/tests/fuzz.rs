//! Tests of the parts of fuzz tests: mutations, pieces and the strict reader of HTTP/1.1.

use galenastream_standin::{Corpus, Pieces, StrictMessage, StrictReading};
use proptest::prelude::*;

fn corpus() -> Corpus {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/tests/corpus/heartbeat");
    Corpus::load(folder).expect("the corpus is in the repository")
}

fn body(reading: StrictReading) -> Option<String> {
    match reading {
        StrictReading::Complete(message) => Some(String::from_utf8(message.body).expect("text")),
        StrictReading::Incomplete | StrictReading::Refused => None,
    }
}

#[test]
fn an_empty_or_missing_corpus_is_an_error() {
    assert!(Corpus::load("/nowhere").is_err());
    assert!(corpus().documents().iter().any(|it| it.is_refused()));
    assert!(corpus().documents().iter().any(|it| !it.is_refused()));
}

#[test]
fn the_strict_reader_reads_requests_with_one_meaning() {
    let read = |headers: &str, rest: &str| {
        let bytes = format!("POST /a HTTP/1.1\r\n{headers}\r\n\r\n{rest}");
        StrictMessage::read_request(bytes.as_bytes())
    };
    let chunked = "Transfer-Encoding: chunked";
    assert_eq!(body(read("Host: h", "abc")).as_deref(), Some(""));
    assert_eq!(body(read("Content-Length: 2", "abc")).as_deref(), Some("ab"));
    assert_eq!(body(read(chunked, "2;x=y\r\nab\r\n0\r\nT: t\r\n\r\nabc")).as_deref(), Some("ab"));
    assert_eq!(read("Content-Length: 4", "abc"), StrictReading::Incomplete);
    assert_eq!(read(chunked, "2\r\nab\r\n"), StrictReading::Incomplete);
    // RFC 9110, section 8.6: one decimal value that is repeated; section 5.6.1.2: empty elements.
    for headers in [
        "Content-Length: 2, 2",
        "Content-Length: 2,2 ,\t2",
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 2, 2",
        "Content-Length: 2, 02",
    ] {
        assert_eq!(body(read(headers, "abc")).as_deref(), Some("ab"), "{headers}");
    }
    for headers in [
        "Transfer-Encoding: chunked,",
        "Transfer-Encoding: , ,CHUNKED",
        "Transfer-Encoding:\r\nTransfer-Encoding: chunked",
    ] {
        let chunks = "0002\r\nab\r\n00\r\n\r\nabc";
        assert_eq!(body(read(headers, chunks)).as_deref(), Some("ab"), "{headers}");
    }
    let refused = [
        ("Content-Length: 1\r\nContent-Length: 2", "abc"),
        ("Content-Length: 1, 2", "abc"),
        ("Content-Length: 1,", "abc"),
        ("Content-Length: ,1", "abc"),
        ("Content-Length: 1,\r\nContent-Length: 1", "abc"),
        ("Content-Length: 1 1", "abc"),
        ("Content-Length: 1;1", "abc"),
        ("Content-Length: 1, 0x1", "abc"),
        ("Content-Length: 1, 1\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        ("Content-Length: 1\r\nTransfer-Encoding:", "abc"),
        ("Transfer-Encoding:", "abc"),
        ("Transfer-Encoding: ,", "abc"),
        ("Transfer-Encoding: chunked, chunked", "0\r\n\r\n"),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        ("Transfer-Encoding: chunked, gzip", "0\r\n\r\n"),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        ("Content-Length: +1", "abc"),
        ("Content-Length:", "abc"),
        ("Content-Length : 1", "abc"),
        ("Transfer-Encoding: gzip, chunked", "0\r\n\r\n"),
        (chunked, "\r\n\r\n"),
        (chunked, ";x\r\n\r\n"),
        (chunked, "1;x\ny\r\na\r\n0\r\n\r\n"),
        (chunked, "1\r\nab\r\n0\r\n\r\n"),
        (chunked, "0\r\nno field\r\n\r\n"),
        (chunked, "0\n\n"),
    ];
    for (headers, rest) in refused {
        assert_eq!(read(headers, rest), StrictReading::Refused, "{headers} {rest:?}");
    }
    let old = b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(StrictMessage::read_request(old), StrictReading::Refused);
}

#[test]
fn the_strict_reader_reads_responses_up_to_their_end() {
    let read = |head: &str, rest: &str| {
        body(StrictMessage::read_response(format!("HTTP/1.1 {head}\r\n\r\n{rest}").as_bytes()))
    };
    assert_eq!(read("200 OK", "abc").as_deref(), Some("abc"));
    assert_eq!(read("200 OK\r\nContent-Length: 2", "abc").as_deref(), Some("ab"));
    // Section 6.3: without chunks as the last coding, the body ends with the connection.
    assert_eq!(read("200 OK\r\nTransfer-Encoding: gzip", "1\r\na").as_deref(), Some("1\r\na"));
    let chunks = "1\r\na\r\n0\r\n\r\n";
    assert_eq!(read("200 OK\r\nTransfer-Encoding: x, chunked", chunks).as_deref(), Some("a"));
    assert_eq!(read("204 No Content", "abc").as_deref(), Some(""));
    let continued = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz";
    assert_eq!(read("100 Continue", continued).as_deref(), Some("z"));
    assert_eq!(read("200 OK\r\nContent-Length: 4", "abc"), None);
}

proptest! {
    #[test]
    fn mutations_of_any_document_do_not_panic(document in corpus().mutated()) {
        prop_assert!(document.len() < 100_000);
    }

    #[test]
    fn pieces_add_up_to_the_bytes(pieces in Pieces::any(), bytes in any::<Vec<u8>>()) {
        prop_assert_eq!(pieces.of(&bytes).concat(), bytes);
    }
}
