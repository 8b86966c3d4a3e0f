//! Tests of the deadlines of answers.

use galenastream_routing::Deadline;
use galenastream_utils::BootInstant;

/// Guards against answers that are ready only when the caller no longer waits for them.
#[test]
fn an_answer_is_due_before_its_caller_gives_up() {
    let arrived_at = BootInstant::new(0);
    let due_ms = |wait_ms| Deadline::of_answer(arrived_at, wait_ms).remaining_ms(arrived_at);
    assert_eq!([1_200, 500, 200, 50, 0].map(due_ms), [1_175, 475, 180, 45, 0]);
    assert!(due_ms(u32::MAX) < u32::MAX);
}
