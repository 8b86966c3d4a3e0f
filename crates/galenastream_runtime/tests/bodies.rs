//! Tests of bodies that are collected within a budget.

use bytes::Bytes;
use galenastream_runtime::{BodyBudget, BodyBuffer, BodyTooLong};

/// The size of the parts, and the longest body that needs no reservation.
const PART_BYTES: usize = 64 * 1024;

fn part(byte: u8) -> Bytes {
    vec![byte; PART_BYTES].into()
}

#[test]
fn a_body_is_the_sequence_of_its_parts_and_gives_its_memory_back_with_the_last_reference() {
    let budget = BodyBudget::new(4 * PART_BYTES);
    let mut buffer = BodyBuffer::new(4 * PART_BYTES).with_budget(&budget);
    buffer.push(Bytes::from_static(b"begin")).unwrap();
    buffer.push(part(b'x')).unwrap();
    buffer.push(Bytes::from_static(b"end")).unwrap();
    assert_eq!(buffer.len(), PART_BYTES + 8);
    let body = buffer.finish();
    assert!(body.starts_with(b"beginx") && body.ends_with(b"xend"));
    assert_eq!((body.len(), budget.reserved_bytes()), (PART_BYTES + 8, PART_BYTES + 8));
    let end = body.slice(body.len() - 3..);
    drop(body);
    assert_eq!(budget.reserved_bytes(), PART_BYTES + 8);
    drop(end);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn a_body_that_exceeds_its_maximum_or_the_budget_is_refused_and_gives_its_memory_back() {
    let budget = BodyBudget::new(3 * PART_BYTES);
    let mut first = BodyBuffer::new(2 * PART_BYTES).with_budget(&budget);
    first.push(part(b'a')).unwrap();
    first.push(part(b'a')).unwrap();
    let too_long = BodyTooLong { bytes: 2 * PART_BYTES + 1 };
    assert_eq!(first.push(Bytes::from_static(b"a")), Err(too_long));
    let mut second = BodyBuffer::new(2 * PART_BYTES).with_budget(&budget);
    second.push(part(b'b')).unwrap();
    assert_eq!(second.push(part(b'b')), Err(BodyTooLong { bytes: 2 * PART_BYTES }));
    drop(first);
    assert_eq!(second.push(part(b'b')), Ok(()));
    drop(second);
    assert_eq!(budget.reserved_bytes(), 0);
}

/// Guards against short answers that fail because long ones have used up the budget.
#[test]
fn a_short_body_needs_no_budget() {
    let budget = BodyBudget::new(0);
    let mut buffer = BodyBuffer::new(2 * PART_BYTES).with_budget(&budget);
    buffer.push(part(b'x')).unwrap();
    assert!(buffer.push(Bytes::from_static(b"x")).is_err());
    assert_eq!(buffer.finish().len(), PART_BYTES);
}
