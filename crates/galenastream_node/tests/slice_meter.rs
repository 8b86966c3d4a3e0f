//! The measured load of slices, and the key that stands out.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::time::Duration;

use galenastream_node::SliceMeter;
use galenastream_ownership::{HotKey, KeyHash, SliceId};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn busy_time_becomes_slots_and_an_idle_slice_is_reported_once() {
    let meter = SliceMeter::default();
    assert_eq!(meter.report(SliceId(1), SECOND), None);
    for hash in 0..100 {
        meter.add(KeyHash(hash), Duration::from_millis(25));
    }
    let load = meter.report(SliceId(1), SECOND).unwrap();
    assert_eq!((load.busy_millislots, load.hottest), (2_500, None));
    assert_eq!(meter.report(SliceId(1), SECOND).unwrap().busy_millislots, 0);
    assert_eq!(meter.report(SliceId(1), SECOND), None);
}

#[test]
fn a_key_that_carries_the_slice_is_named_among_many_others() {
    let meter = SliceMeter::default();
    for hash in 0..1_000 {
        meter.add(KeyHash(hash), Duration::from_millis(1));
        meter.add(KeyHash(77_777), Duration::from_millis(1));
    }
    let hottest = meter.report(SliceId(1), SECOND).unwrap().hottest;
    assert_eq!(hottest, Some(HotKey { hash: KeyHash(77_777), share_percent: 50 }));
}
