//! Tests of the sizes that are expected of long answers.

use super::answer_sizes::AnswerSizes;

/// Guards against any number of answers that are expected to take nothing until the first one has come.
#[test]
fn an_answer_of_unknown_size_is_expected_to_be_long() {
    let sizes = AnswerSizes::default();
    assert!(sizes.expected_bytes() >= 540_000);
    sizes.add(540_000);
    assert_eq!(sizes.expected_bytes(), 540_000);
    sizes.add(100_000);
    assert_eq!(sizes.expected_bytes(), 485_000);
}
