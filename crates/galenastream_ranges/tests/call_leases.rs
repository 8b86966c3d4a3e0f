//! Checks when calls to a target are sent, and what their ends prove.

use std::time::Duration;

use galenastream_ranges::{
    Assignment, CallId, CallLeases, CallOutcome, EndProof, KeyRange, LeaseOrder, LeaseTerms, Owner,
    PlannedCall, TargetIncarnation,
};
use galenastream_utils::BootInstant;

const LEASE: Duration = Duration::from_secs(6);
const TERMS: LeaseTerms = LeaseTerms::new(Duration::from_secs(12), LEASE);

fn at(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange { first, last }
}

fn owner(id: &str) -> Owner {
    Owner::new(TargetIncarnation::new(id, 0), format!("node-{id}"))
}

fn done(handover: &str) -> CallOutcome {
    CallOutcome::Done { handover: handover.to_owned() }
}

/// An assignment in which a target owns `count` ranges of 64 keys, with others in between.
fn scattered(target: &Owner, count: u16) -> Assignment {
    let mut assignment = Assignment::new();
    for index in 0..count {
        assignment.assign(range(index * 128, index * 128 + 63), target);
        assignment.assign(range(index * 128 + 64, index * 128 + 127), &owner("other"));
    }
    assignment
}

/// A target with the calls to it.
struct Played {
    calls: CallLeases,
    target: TargetIncarnation,
    assignment: Assignment,
}

impl Played {
    fn new(assignment: Assignment) -> Self {
        Self { calls: CallLeases::new(CallId(1)), target: owner("t").target, assignment }
    }

    fn plan(&mut self, now_ms: u64) -> Vec<PlannedCall> {
        self.calls.plan(&self.assignment, &self.target, Some(LEASE), at(now_ms))
    }

    fn end(&mut self, call: &PlannedCall, outcome: CallOutcome, now_ms: u64) {
        self.calls.record_outcome(call.id, outcome, TERMS, at(now_ms));
    }

    fn grant_all(&mut self, now_ms: u64) {
        for call in self.plan(now_ms) {
            self.end(&call, done(""), now_ms);
        }
    }

    fn ended(&self, keys: KeyRange, now_ms: u64) -> Vec<(KeyRange, EndProof)> {
        let parts = self.calls.ended_parts(keys, at(0), at(now_ms));
        parts.into_iter().map(|it| (it.range, it.proof)).collect()
    }
}

fn owned_whole() -> Assignment {
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &owner("t"));
    assignment
}

#[test]
fn grants_under_way_and_calls_per_second_are_bounded() {
    let mut played = Played::new(scattered(&owner("t"), 200));
    let first = played.plan(1_000);
    assert_eq!(first.len(), 8, "grants under way");
    let mut sent = first.len();
    for call in first {
        played.end(&call, done(""), 1_000);
    }
    for now_ms in (1_010..2_000).step_by(10) {
        for call in played.plan(now_ms) {
            sent += 1;
            played.end(&call, done(""), now_ms);
        }
    }
    assert_eq!(sent, 120, "calls within a second");
}

/// The renewals of many ranges would otherwise all come at once, lease after lease.
#[test]
fn renewals_of_many_ranges_are_spread_and_come_in_time() {
    let mut played = Played::new(scattered(&owner("t"), 50));
    let mut renewed_at = Vec::new();
    for now_ms in (1_000..20_000).step_by(100) {
        for call in played.plan(now_ms) {
            renewed_at.extend(call.is_renewal.then_some(now_ms));
            played.end(&call, done(""), now_ms + 5);
        }
        if now_ms > 3_000 {
            assert_eq!(played.calls.held(at(now_ms)).len(), 50, "at {now_ms} ms");
        }
    }
    let busiest = (1_000..20_000).step_by(1_000).map(|from_ms| {
        renewed_at.iter().filter(|it| (from_ms..from_ms + 1_000).contains(*it)).count()
    });
    assert!(busiest.max() <= Some(60), "{renewed_at:?}");
    let per_lease = renewed_at.len() * 6 / 17 / 50;
    assert!(per_lease <= 3, "{per_lease} renewals of a range per lease");
}

#[test]
fn a_range_that_is_split_goes_on_without_a_call_and_its_parts_are_renewed() {
    let mut played = Played::new(owned_whole());
    played.grant_all(1_000);
    played.assignment.begin_move(range(100, 199), Some(&owner("u")), 7);
    let calls = played.plan(1_500);
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert!(matches!(calls[0].order, LeaseOrder::Release { .. }));
    let held: Vec<KeyRange> = played.calls.held(at(1_500)).into_iter().map(|it| it.0).collect();
    assert_eq!(held, [range(0, 99), range(200, u16::MAX)]);
    let renewed: Vec<KeyRange> =
        played.plan(4_100).into_iter().map(|it| it.order.range()).collect();
    assert_eq!(renewed, [range(0, 99), range(200, u16::MAX)]);
}

#[test]
fn keys_are_ended_by_the_answer_to_a_release() {
    let mut played = Played::new(owned_whole());
    played.grant_all(1_000);
    played.assignment.begin_move(range(100, 199), Some(&owner("u")), 7);
    let release = played.plan(1_500).remove(0);
    assert_eq!(played.ended(range(100, 199), 1_600), []);
    played.end(&release, done("token"), 1_700);
    assert_eq!(played.ended(range(100, 199), 1_700), [(range(100, 199), EndProof::Released)]);
    assert_eq!(played.ended(range(0, 199), 1_700), [(range(100, 199), EndProof::Released)]);
    assert_eq!(played.calls.ended_parts(range(100, 199), at(0), at(1_700))[0].handover, "token");
}

/// A renewal that is answered after the release was sent may have been carried out after it.
#[test]
fn a_release_does_not_count_for_a_grant_that_was_answered_after_it_was_sent() {
    let mut played = Played::new(owned_whole());
    played.grant_all(1_000);
    let renewal = played.plan(4_000).remove(0);
    played.assignment.begin_move(KeyRange::ALL, Some(&owner("u")), 7);
    let release = played.plan(4_010).remove(0);
    played.end(&release, done(""), 4_020);
    assert_eq!(played.ended(KeyRange::ALL, 4_020), [], "the renewal is under way");
    played.end(&renewal, done(""), 4_030);
    assert_eq!(played.ended(KeyRange::ALL, 4_040), []);
    assert_eq!(played.ended(KeyRange::ALL, 4_030 + 6_100), []);
    assert_eq!(played.ended(KeyRange::ALL, 4_030 + 6_190), [(KeyRange::ALL, EndProof::Released)]);
}

#[test]
fn a_grant_without_an_answer_counts_from_the_close_of_its_connection() {
    let mut played = Played::new(owned_whole());
    let grant = played.plan(1_000).remove(0);
    played.end(&grant, CallOutcome::NoAnswer, 9_000);
    played.assignment.begin_move(KeyRange::ALL, None, 7);
    assert_eq!(played.ended(KeyRange::ALL, 9_000 + 6_100), []);
    assert_eq!(played.ended(KeyRange::ALL, 9_000 + 6_190), [(KeyRange::ALL, EndProof::Expired)]);
}

#[test]
fn a_grant_that_was_not_sent_proves_nothing_and_is_repeated() {
    let mut played = Played::new(owned_whole());
    let grant = played.plan(1_000).remove(0);
    played.end(&grant, CallOutcome::NotSent, 1_010);
    assert_eq!(played.calls.all_end_at(TERMS, at(1_010)), BootInstant::default());
    assert_eq!(played.plan(1_050), [], "not at once");
    assert_eq!(played.plan(1_300).len(), 1);
}

/// Repeats without an answer come less and less often.
#[test]
fn grants_without_an_answer_are_repeated_with_growing_delays() {
    let mut played = Played::new(owned_whole());
    let mut sent_at = Vec::new();
    for now_ms in (1_000..6_000).step_by(10) {
        for call in played.plan(now_ms) {
            sent_at.push(now_ms);
            played.end(&call, CallOutcome::NoAnswer, now_ms);
        }
    }
    let gaps: Vec<u64> = sent_at.windows(2).map(|it| it[1] - it[0]).collect();
    assert!(gaps.is_sorted() && gaps[0] >= 80 && gaps.len() <= 14, "{gaps:?}");
}

#[test]
fn keys_come_back_by_a_new_grant_after_a_release() {
    let mut played = Played::new(owned_whole());
    played.grant_all(1_000);
    played.assignment.begin_move(KeyRange::ALL, None, 7);
    let release = played.plan(1_500).remove(0);
    played.assignment.cancel_moves(&owner("t").target);
    let grant = played.plan(1_600);
    assert!(
        matches!(grant[..], [PlannedCall { order: LeaseOrder::Grant { .. }, .. }]),
        "{grant:?}"
    );
    assert_eq!(played.calls.held(at(1_600)), [], "nothing is held before the answer");
    played.end(&grant[0], done(""), 1_610);
    played.end(&release, CallOutcome::NoAnswer, 1_620);
    assert_eq!(played.calls.held(at(1_620)).len(), 1);
}

/// Guards against keys without a server until the next renewal: a refusal of a request that was sent
/// before the keys were granted again arrives after that.
#[test]
fn keys_that_are_denied_again_within_a_second_are_granted_again_after_it() {
    let mut played = Played::new(owned_whole());
    played.grant_all(1_000);
    played.calls.record_denial(7, at(1_200));
    played.grant_all(1_200);
    played.calls.record_denial(7, at(1_250));
    assert_eq!(played.calls.held(at(1_250)), []);
    assert_eq!(played.plan(1_300), [], "not in a loop");
    played.grant_all(2_200);
    assert_eq!(played.calls.held(at(2_200)).len(), 1);
}

#[test]
fn a_fence_that_the_target_refuses_twice_is_raised_by_the_owner_of_the_keys() {
    let mut played = Played::new(owned_whole());
    for now_ms in [1_000, 2_100] {
        let grant = played.plan(now_ms).remove(0);
        assert_eq!(played.calls.ranges_with_low_fence(), []);
        played.end(&grant, CallOutcome::HigherFenceSeen, now_ms + 10);
    }
    assert_eq!(played.calls.ranges_with_low_fence(), [(KeyRange::ALL, 1)]);
    assert!(played.assignment.reissue(KeyRange::ALL, &owner("t").target));
    let grant = played.plan(2_200).remove(0);
    assert_eq!(grant.order.fence(), 2);
    assert!(!played.assignment.reissue(KeyRange::ALL, &owner("u").target), "not an owner");
}
