//! Tests of retries, the breaker, the route cache and the balance, as tables.

use std::time::Duration;

use galenastream_ownership::{BootInstant, Epoch, KeyHash, ServiceId, VmId};
use galenastream_routing::{
    Breaker, BreakerLimits, Candidate, Deadline, MemberLoads, NotRunReason, Outcome, Passage,
    RetryBudget, RetryDecision, RetryPolicy, Route, RouteCache, Try, UnknownReason,
};
use rand::{SeedableRng, rngs::StdRng};

const SERVICE: ServiceId = ServiceId(1);

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

const fn retry_ms(ms: u64) -> RetryDecision {
    RetryDecision::Retry { after: Duration::from_millis(ms) }
}

const fn give_up_ms(retry_after_ms: u32) -> RetryDecision {
    RetryDecision::GiveUp { retry_after_ms }
}

#[test]
fn retries_only_what_provably_did_not_run_or_is_idempotent() {
    let not_owner = Outcome::NotRun(NotRunReason::NotOwner);
    let moving = Outcome::NotRun(NotRunReason::Moving);
    let overloaded = Outcome::NotRun(NotRunReason::Overloaded);
    let invalid = Outcome::NotRun(NotRunReason::Invalid);
    let lost = Outcome::Unknown(UnknownReason::PeerLost);
    let first = Try { number: 1, outcome: moving, idempotent: false, retry_after_ms: 0 };
    let cases = [
        ("stale route", Try { outcome: not_owner, ..first }, 1_000, retry_ms(0)),
        ("moving", first, 1_000, retry_ms(2)),
        ("moving again", Try { number: 3, ..first }, 1_000, retry_ms(8)),
        ("too many tries", Try { number: 6, ..first }, 1_000, give_up_ms(100)),
        ("lost, not idempotent", Try { outcome: lost, ..first }, 1_000, give_up_ms(100)),
        ("lost, idempotent", Try { outcome: lost, idempotent: true, ..first }, 1_000, retry_ms(2)),
        ("ran", Try { outcome: Outcome::Ran, idempotent: true, ..first }, 1_000, give_up_ms(0)),
        ("invalid", Try { outcome: invalid, ..first }, 1_000, give_up_ms(0)),
        (
            "overloaded",
            Try { outcome: overloaded, retry_after_ms: 7, ..first },
            1_000,
            give_up_ms(7),
        ),
        ("told to wait for long", Try { retry_after_ms: 400, ..first }, 1_000, give_up_ms(400)),
        ("no time left", first, 2, give_up_ms(100)),
    ];
    for (name, tried, deadline_ms, expected) in cases {
        let deadline = Deadline::new(at_ms(0), deadline_ms);
        let mut budget = RetryBudget::new(10);
        let decision = RetryPolicy::default().decide(at_ms(0), deadline, tried, &mut budget);
        assert_eq!(decision, expected, "{name}");
    }
}

#[test]
fn retries_stay_within_their_share_of_requests() {
    let mut budget = RetryBudget::new(10);
    while budget.take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.add_request();
        retries += u32::from(budget.take());
    }
    assert_eq!(retries, 100);
}

#[test]
fn breaker_opens_probes_and_closes() {
    let limits = BreakerLimits { failures_in_row: 3, open_ms: 100 };
    let mut breaker = Breaker::new(limits);
    breaker.record_failure(at_ms(0));
    breaker.record_failure(at_ms(0));
    breaker.record_success();
    for _ in 0..3 {
        assert_eq!(breaker.pass(at_ms(0)), Passage::Free);
        breaker.record_failure(at_ms(0));
    }
    assert_eq!(breaker.pass(at_ms(50)), Passage::Blocked { retry_after_ms: 51 });
    assert_eq!(breaker.pass(at_ms(100)), Passage::Probe);
    assert!(matches!(breaker.pass(at_ms(101)), Passage::Blocked { .. }), "one probe at a time");
    breaker.record_failure(at_ms(110));
    assert!(matches!(breaker.pass(at_ms(209)), Passage::Blocked { .. }));
    assert_eq!(breaker.pass(at_ms(210)), Passage::Probe);
    breaker.record_success();
    assert_eq!(breaker.pass(at_ms(211)), Passage::Free);
}

#[test]
fn breaker_probes_again_when_a_probe_never_reported() {
    let mut breaker = Breaker::new(BreakerLimits { failures_in_row: 1, open_ms: 100 });
    breaker.record_failure(at_ms(0));
    assert_eq!(breaker.pass(at_ms(100)), Passage::Probe);
    assert_eq!(breaker.pass(at_ms(200)), Passage::Probe);
}

fn route(first: u64, last: u64, epoch: u64, owner: u64) -> Route {
    Route {
        first: KeyHash(first),
        last: KeyHash(last),
        epoch: Epoch(epoch),
        owner: VmId::from_bits(owner),
    }
}

#[test]
fn a_newer_route_takes_the_place_of_the_ones_it_overlaps() {
    let mut cache = RouteCache::new();
    assert!(cache.learn(SERVICE, route(0, 99, 1, 1)));
    assert!(cache.learn(SERVICE, route(100, 199, 5, 2)));
    assert!(cache.learn(SERVICE, route(0, 49, 2, 3)), "a split slice has a higher epoch");
    assert!(!cache.learn(SERVICE, route(0, 199, 4, 4)), "older than one that it overlaps");
    let owners = [0, 49, 50, 99, 100, 199, 200]
        .map(|hash| cache.find(SERVICE, KeyHash(hash)).map(|it| it.owner.bits()));
    assert_eq!(owners, [Some(3), Some(3), None, None, Some(2), Some(2), None]);
}

#[test]
fn only_the_route_that_proved_wrong_is_forgotten() {
    let mut cache = RouteCache::new();
    let old = route(0, 99, 1, 1);
    let new = route(0, 99, 2, 2);
    cache.learn(SERVICE, old);
    cache.learn(SERVICE, new);
    cache.forget(SERVICE, old);
    assert_eq!(cache.find(SERVICE, KeyHash(5)), Some(new));
    cache.forget_vm(VmId::from_bits(2));
    assert!(cache.is_empty());
}

#[test]
fn two_choices_avoid_a_slow_member_and_spread_over_the_rest() {
    let candidates: Vec<Candidate> =
        (1..=4).map(|vm| Candidate { vm: VmId::from_bits(vm), slots: 6 }).collect();
    let slow = candidates[0].vm;
    let mut loads = MemberLoads::new();
    for candidate in &candidates {
        for _ in 0..100 {
            loads.begin(candidate.vm);
            loads.finish(candidate.vm, if candidate.vm == slow { 50_000 } else { 5_000 });
        }
    }
    let mut rng = StdRng::seed_from_u64(7);
    let mut chosen = [0_u32; 5];
    for _ in 0..3_000 {
        let vm = loads.choose(&candidates, &mut rng).unwrap();
        chosen[usize::try_from(vm.bits()).unwrap()] += 1;
    }
    assert_eq!(chosen[1], 0, "another candidate is always better than the slow one");
    assert!(chosen[2..].iter().all(|count| (800..1_200).contains(count)), "{chosen:?}");
    assert_eq!(loads.choose(&[], &mut rng), None);
}
