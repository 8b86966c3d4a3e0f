//! Tests of when a target with a request limit wants a request that shows whether the limit has
//! ended.

use std::time::Duration;

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::RequestRate;
use galenastream_utils::BootInstant;

use super::{TargetLimit, local_limit::LocalLimit};

/// Interval at which the control state reads the limit.
const STEP_MS: u64 = 500;

fn at(ms: u64) -> BootInstant {
    BootInstant::new(0) + Duration::from_millis(1_000_000 + ms)
}

fn limit_of_zero(last_exchange_ms: u64) -> TargetLimit {
    let target = TargetIncarnation::new("t-1", 0);
    TargetLimit { target, rate: RequestRate::new(0), last_exchange_at: at(last_exchange_ms) }
}

/// Replays a limit of zero with requests at these instants. Returns when a trial becomes wanted.
fn wanted_ms(holds_keys: bool, requests_ms: &[u64], end_ms: u64) -> Vec<u64> {
    let mut limit = None;
    let mut wanted = Vec::new();
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        let last_ms = requests_ms.iter().rev().find(|it| **it <= now_ms).copied().unwrap_or(0);
        let was_wanted =
            limit.as_ref().is_some_and(|it: &LocalLimit| it.trial_wanted_since().is_some());
        let next = LocalLimit::new(limit_of_zero(last_ms), limit.take(), holds_keys, at(now_ms));
        if let Some(since) = next.trial_wanted_since() {
            assert_eq!(since == at(now_ms), !was_wanted, "it is wanted since the first time");
            if !was_wanted {
                wanted.push(now_ms);
            }
        }
        limit = Some(next);
    }
    wanted
}

#[test]
fn a_target_that_gets_no_request_for_two_seconds_wants_a_trial() {
    assert_eq!(wanted_ms(false, &[], 10_000), [2_000]);
    assert_eq!(wanted_ms(false, &[3_000, 7_000], 10_000), [2_000, 5_000, 9_000]);
    assert_eq!(
        wanted_ms(false, &[1_500, 3_000, 4_500, 6_000, 7_500, 9_000], 10_000),
        Vec::<u64>::new()
    );
}

/// Guards against keys that move there and back every few seconds while a limit of zero lasts.
#[test]
fn trials_that_move_keys_become_rarer_the_longer_a_limit_lasts() {
    assert_eq!(wanted_ms(true, &[], 10_000), [4_000]);
    assert_eq!(wanted_ms(true, &[40_000], 60_000), [4_000, 53_500]);
    let hour = 3_600_000;
    // The hour without a request but these: each trial is answered within a second.
    let mut requests = Vec::new();
    let mut count = 0;
    while let Some(last) = wanted_ms(true, &requests, hour).get(count) {
        requests.push(last + 1_000);
        count += 1;
    }
    assert!((50..=80).contains(&count), "{count} trials in an hour");
}

#[test]
fn another_incarnation_starts_anew() {
    let earlier = LocalLimit::new(limit_of_zero(0), None, false, at(5_000));
    assert!(earlier.trial_wanted_since().is_some());
    let mut announced = limit_of_zero(9_000);
    announced.target = TargetIncarnation::new("t-1", 1);
    let next = LocalLimit::new(announced, Some(earlier), false, at(9_500));
    assert_eq!(next.trial_wanted_since(), None);
    assert_eq!(next.capacity(50_000, at(12_000)), 50_000, "a short limit is no capacity");
    assert_eq!(next.capacity(50_000, at(12_500)), 1);
}
