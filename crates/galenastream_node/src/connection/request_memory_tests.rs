//! Tests of the memory that the codec of callers' requests takes from its budget.

use bytes::BytesMut;
use galenastream_runtime::MemoryBudget;
use tokio_util::codec::Decoder;

use super::{
    request_codec::{Incoming, RequestCodec, RequestError},
    request_codec_tests::{MAX_BODY_BYTES, MAX_HEADER_BYTES, decode_more, limits, room},
};

/// Guards against bodies that are held without a bound on their sum.
#[test]
fn a_long_body_without_room_is_refused_before_it_is_read() {
    const LONG_BYTES: usize = 600 * 1024;
    let budget = MemoryBudget::new(1024 * 1024);
    let limits = limits(MAX_HEADER_BYTES, LONG_BYTES);
    let new_codec = || RequestCodec::new(|| Some(limits), room(budget.clone()));
    let heads = [
        format!("POST /a HTTP/1.1\r\nContent-Length: {LONG_BYTES}\r\n\r\n"),
        format!("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{LONG_BYTES:x}\r\n"),
    ];
    let read = |head: &str| {
        let mut codec = new_codec();
        let mut bytes = BytesMut::from(head);
        bytes.resize(head.len() + LONG_BYTES, b'b');
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        codec.decode(&mut bytes).unwrap()
    };
    for head in &heads {
        let first = read(head);
        assert!(matches!(&first, Some(Incoming::Request(it, _)) if it.body().len() == LONG_BYTES));
        for other in &heads {
            let refused = read(other);
            let error = RequestError::NoMemory;
            assert!(matches!(refused, Some(Incoming::Invalid { error: it, .. }) if it == error));
        }
        let mut codec = new_codec();
        let mut announced = BytesMut::from(heads[0].as_str());
        let refused = codec.decode(&mut announced).unwrap();
        assert!(matches!(refused, Some(Incoming::Invalid { error: RequestError::NoMemory, .. })));
        drop(first);
        assert_eq!(budget.reserved_bytes(), 0);
    }
}

/// Guards against heads that take far more memory than they have bytes, and against ones that stop.
#[test]
fn a_head_takes_its_memory_from_the_budget_until_its_request_is_dropped() {
    const HEADERS: usize = 4_000;
    let budget = MemoryBudget::new(1024 * 1024);
    let limits = limits(usize::MAX, MAX_BODY_BYTES);
    let mut codec = RequestCodec::new(|| Some(limits), room(budget.clone()));
    let mut head = BytesMut::from("GET /a HTTP/1.1\r\n");
    for _ in 0..HEADERS {
        head.extend_from_slice(b"a:\r\n");
    }
    assert!(codec.decode(&mut head).unwrap().is_none());
    assert!(budget.reserved_bytes() >= 2 * head.len());
    head.extend_from_slice(b"\r\n");
    let request = codec.decode(&mut head).unwrap();
    assert!(matches!(request, Some(Incoming::Request(..))));
    assert!(budget.reserved_bytes() > HEADERS * 100, "{}", budget.reserved_bytes());
    drop(request);
    assert_eq!(budget.reserved_bytes(), 0);
    let mut held = budget.reservation();
    assert!(held.extend_to(1024 * 1024));
    let mut more = BytesMut::from("GET /a HTTP/1.1\r\n\r\n");
    let refused = codec.decode(&mut more).unwrap();
    assert!(matches!(refused, Some(Incoming::Invalid { error: RequestError::NoMemory, .. })));
}

/// Guards against lines of chunked bodies that are held without being counted.
#[test]
fn a_line_of_a_chunked_body_takes_its_memory_from_the_budget() {
    const LINE_BYTES: usize = 100 * 1024;
    let budget = MemoryBudget::new(1024 * 1024);
    let limits = limits(2 * LINE_BYTES, MAX_BODY_BYTES);
    for line in ["1;extension=", "0\r\ntrailer: "] {
        let mut codec = RequestCodec::new(|| Some(limits), room(budget.clone()));
        let head = format!("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{line}");
        let mut buffer = BytesMut::new();
        assert!(decode_more(&mut codec, &mut buffer, head.as_bytes()).is_empty());
        let more = "x".repeat(LINE_BYTES);
        assert!(decode_more(&mut codec, &mut buffer, more.as_bytes()).is_empty());
        assert!(budget.reserved_bytes() >= 2 * LINE_BYTES, "{line}: {}", budget.reserved_bytes());
    }
}
