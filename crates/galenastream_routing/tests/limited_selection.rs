//! Tests of target selection when targets announce request limits.

use std::time::Duration;

use galenastream_routing::{NodeKey, ObservedLoad, RequestRate, TargetCandidate, TargetSelector};
use galenastream_utils::BootInstant;

const SLOTS: u32 = 8;
const SERVICE_TIME_US: u32 = 100_000;

/// Requests that are in progress at the same time: as many as the unlimited target has slots, and
/// one more.
const REQUESTS: u32 = 9;

fn candidate(node: u32, limit: Option<RequestRate>) -> TargetCandidate {
    TargetCandidate { node: NodeKey(node), slots: SLOTS, is_same_data_centre: true, limit }
}

/// Starts requests at two targets of the same speed, the first of which has a limit, and returns how
/// many go to the first.
fn chosen_limited(limit: Option<RequestRate>) -> u32 {
    let now = BootInstant::new(0) + Duration::from_secs(1);
    let mut selector = TargetSelector::new(1);
    let candidates = [candidate(1, limit), candidate(2, None)];
    for it in candidates {
        let load = ObservedLoad { pending: 0, service_time_us: SERVICE_TIME_US };
        selector.observe(it.node, load, now);
    }
    let mut count = 0;
    for _ in 0..REQUESTS {
        let chosen = selector.choose(&candidates, 0.0, now).expect("there are candidates");
        selector.begin(chosen);
        count += u32::from(chosen == NodeKey(1));
    }
    count
}

#[test]
fn a_limited_target_is_selected_for_its_share_of_the_requests() {
    // Ten requests per second of 100 ms each keep one of eight slots busy.
    assert_eq!(chosen_limited(Some(RequestRate::new(10_000))), 1);
    assert_eq!(chosen_limited(Some(RequestRate::new(0))), 0, "a limit of zero leaves no share");
    assert!((4..=5).contains(&chosen_limited(None)), "without a limit, both get the same");
    let wide = Some(RequestRate::new(1_000_000));
    assert_eq!(chosen_limited(wide), chosen_limited(None), "a limit above the slots has no effect");
}

/// Guards against a target that gets no requests after its limit has ended, since the few of before
/// were slow.
#[test]
fn a_target_whose_service_time_is_forgotten_counts_as_fast_as_the_others() {
    let now = BootInstant::new(0) + Duration::from_secs(1);
    let mut selector = TargetSelector::new(1);
    let candidates = [candidate(1, None), candidate(2, None)];
    for (node, service_time_us) in [(1, 100 * SERVICE_TIME_US), (2, SERVICE_TIME_US)] {
        selector.observe(NodeKey(node), ObservedLoad { pending: 0, service_time_us }, now);
    }
    let chosen_first = |selector: &mut TargetSelector| {
        (0..100).filter(|_| selector.choose(&candidates, 0.0, now) == Some(NodeKey(1))).count()
    };
    assert_eq!(chosen_first(&mut selector), 0);
    selector.forget_service_time(NodeKey(1));
    assert!((30..=70).contains(&chosen_first(&mut selector)));
    // A reply without a service time leaves it unknown.
    selector.observe(NodeKey(1), ObservedLoad { pending: 0, service_time_us: 0 }, now);
    assert!((30..=70).contains(&chosen_first(&mut selector)));
}
