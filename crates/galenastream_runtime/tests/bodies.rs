//! Tests of bodies that are collected within a budget.

use bytes::Bytes;
use galenastream_runtime::{BodyBuffer, BodyTooLong, KeptRoom, MemoryBudget};

/// The size of the parts, and of the longest body for which room is kept.
const PART_BYTES: usize = 64 * 1024;

fn part(byte: u8) -> Bytes {
    vec![byte; PART_BYTES].into()
}

#[test]
fn a_body_is_the_sequence_of_its_parts_and_gives_its_memory_back_with_the_last_reference() {
    let budget = MemoryBudget::new(4 * PART_BYTES);
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
    let budget = MemoryBudget::new(3 * PART_BYTES);
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

/// Guards against short bodies in many parts, each of which takes a block for long ones.
#[test]
fn a_body_takes_little_more_memory_than_it_is_long() {
    const PARTS: usize = 3_000;
    let mut buffer = BodyBuffer::new(4 * PART_BYTES);
    for _ in 0..PARTS {
        buffer.push(Bytes::from_static(b"some bytes")).unwrap();
        assert!(buffer.held_bytes() <= 2 * buffer.len() + 1_024, "{}", buffer.held_bytes());
    }
    assert_eq!(buffer.finish(), "some bytes".repeat(PARTS));
}

/// Guards against short answers that fail because long ones have used up the budget, and against any
/// number of short ones that count for nothing.
#[test]
fn long_bodies_leave_room_for_short_ones_and_these_for_small_ones() {
    let kept = KeptRoom { short_bytes: 2 * PART_BYTES, small_bytes: 8 };
    let budget = MemoryBudget::with_kept(4 * PART_BYTES, kept);
    let new_buffer = || BodyBuffer::new(4 * PART_BYTES).with_budget(&budget);
    let mut long = new_buffer();
    long.push(part(b'l')).unwrap();
    long.push(part(b'l')).unwrap();
    assert_eq!(long.push(Bytes::from_static(b"l")), Err(BodyTooLong { bytes: 2 * PART_BYTES + 1 }));
    let mut short = new_buffer();
    short.push(part(b's')).unwrap();
    assert!(short.push(Bytes::from_static(b"s")).is_err(), "a longer one is not short");
    let mut next = new_buffer();
    assert!(next.push(part(b'n')).is_err(), "short ones are counted");
    next.push(part(b'n').slice(8..)).unwrap();
    let mut small = new_buffer();
    small.push(Bytes::from_static(b"8 bytes.")).unwrap();
    assert!(small.push(Bytes::from_static(b"!")).is_err(), "so are small ones");
    assert_eq!(budget.reserved_bytes(), 4 * PART_BYTES);
    assert_eq!(short.finish().len(), PART_BYTES);
}

/// Guards against a part of a budget that is filled by other parts, and is charged twice for its own.
#[test]
fn budgets_that_share_memory_leave_each_other_room_for_short_bodies() {
    let kept = KeptRoom { short_bytes: 2 * PART_BYTES, small_bytes: 0 };
    let shared = MemoryBudget::with_kept(6 * PART_BYTES, kept);
    let once = MemoryBudget::within(&shared, 1, usize::MAX, KeptRoom::default());
    let twice = MemoryBudget::within(&shared, 2, usize::MAX, KeptRoom::default());
    let mut long = once.reservation();
    assert!(long.extend_to(4 * PART_BYTES));
    assert!(!twice.has_room_for(PART_BYTES + 1));
    let mut short = twice.reservation();
    assert!(short.extend_to(PART_BYTES));
    assert!(!short.extend_to(PART_BYTES + 1));
    assert_eq!((shared.reserved_bytes(), twice.reserved_bytes()), (6 * PART_BYTES, PART_BYTES));
    let mut exceeding = once.reservation();
    exceeding.extend_anyway(1);
    drop((long, short, exceeding));
    assert_eq!((shared.reserved_bytes(), once.reserved_bytes()), (0, 0));
}
