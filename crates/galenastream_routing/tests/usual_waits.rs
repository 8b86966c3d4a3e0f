//! Tests of the time that callers have waited before an attempt.

use galenastream_routing::UsualWaits;

/// Adds requests with these waits, and returns how long the caller of each has waited before.
fn waited_before(waits: &mut UsualWaits, stated_ms: impl IntoIterator<Item = u32>) -> Vec<u32> {
    stated_ms.into_iter().map(|it| waits.add(it)).collect()
}

#[test]
fn a_caller_that_states_less_than_first_attempts_has_used_up_the_difference() {
    let mut waits = UsualWaits::default();
    // Two requests in three come back, each with another rest.
    let stated = (0..300).map(|it| if it % 3 == 0 { 500 } else { 100 + it * 37 % 300 });
    waited_before(&mut waits, stated);
    assert_eq!(waited_before(&mut waits, [500, 499, 347, 20]), [0, 1, 153, 480]);
}

/// Guards against callers with little time that are taken for late ones because others have more.
#[test]
fn callers_with_different_waits_are_each_at_their_first_attempt() {
    let mut waits = UsualWaits::default();
    waited_before(&mut waits, (0..300).map(|it| [1_000, 500, 300][it % 3]));
    assert_eq!(waited_before(&mut waits, [300, 500, 1_000, 2_000]), [0, 0, 0, 0]);
    assert_eq!(waited_before(&mut waits, [290, 450, 700]), [10, 50, 300]);
}

#[test]
fn callers_whose_waits_are_all_different_are_at_their_first_attempt() {
    let mut waits = UsualWaits::default();
    let waited = waited_before(&mut waits, (0..1_000).map(|it| 100 + it * 37 % 400));
    assert!(waited.iter().all(|it| *it == 0));
}

#[test]
fn nothing_is_concluded_from_a_few_requests() {
    let mut waits = UsualWaits::default();
    assert_eq!(waited_before(&mut waits, [500, 500, 500, 300]), [0, 0, 0, 0]);
}

/// Guards against waits that stay usual after callers have changed theirs.
#[test]
fn usual_waits_follow_the_callers() {
    let mut waits = UsualWaits::default();
    waited_before(&mut waits, [500; 128]);
    waited_before(&mut waits, [300; 128]);
    assert_eq!(waited_before(&mut waits, [300, 250]), [0, 50]);
}
