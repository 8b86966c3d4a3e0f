//! Tests of changes to assignments, of their invariants, and of the row that stores them.

use galenastream_ranges::{
    Assignment, Holding, KeyRange, LeaseTerms, Owner, RowError, TargetIncarnation, VacancyTracker,
    VacantRange,
};
use galenastream_utils::BootInstant;
use proptest::prelude::*;
use std::time::Duration;

const TERMS: LeaseTerms =
    LeaseTerms::new(Duration::from_millis(12_000), Duration::from_millis(6_000));

fn owner(number: u64) -> Owner {
    Owner::new(TargetIncarnation::new(format!("t-{number}"), number), format!("vm-{number}"))
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(first, last).expect("the range is not empty")
}

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

#[test]
fn a_move_is_completed_only_by_the_owner_that_leaves() {
    let (a, b) = (owner(1), owner(2));
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &a);
    let first_fence = assignment.entry_of(7).fence;
    assignment.begin_move(range(0, 99), Some(&b), 1);
    assert_eq!(assignment.owned_by(&b.target).count(), 0, "no lease before the release");
    assert!(!assignment.complete_move(&b.target, range(0, 99), ""));
    assert!(assignment.complete_move(&a.target, range(0, 49), "token"));
    let entry = assignment.entry_of(7);
    assert_eq!((entry.holding.owner(), entry.handover.as_str()), (Some(&b), "token"));
    assert!(entry.fence > first_fence);
    assert_eq!(
        assignment.entry_of(70).holding.leaving_owner(),
        Some(&a),
        "the unreleased keys are still leaving"
    );
    assert_eq!(assignment.entry_of(700).holding.owner(), Some(&a));
}

#[test]
fn a_cancelled_move_leaves_everything_as_it_was() {
    let a = owner(1);
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &a);
    let before = assignment.clone();
    assignment.begin_move(range(10, 20), None, 1);
    assert!(assignment.cancel_moves(&a.target));
    assert_eq!(assignment, before);
}

#[test]
fn an_owner_that_ended_loses_its_keys_and_is_no_longer_a_next_owner() {
    let (a, b) = (owner(1), owner(2));
    let mut assignment = Assignment::new();
    assignment.assign(range(0, 999), &a);
    assignment.assign(range(1_000, 1_999), &b);
    assignment.begin_move(range(0, 9), Some(&b), 1);
    assert!(assignment.remove_owner(&b.target));
    assert_eq!(assignment.entry_of(1_500).holding, Holding::Free);
    let leaving = Holding::Leaving { from: a.clone(), to: None, departure: 1 };
    assert_eq!(assignment.entry_of(5).holding, leaving);
    assignment.remove_owner(&a.target);
    assert_eq!(assignment.holders(), []);
}

#[test]
fn malformed_rows_are_rejected() {
    let mut assignment = Assignment::new();
    assignment.assign(range(0, 9), &owner(1));
    let row = assignment.encode_row();
    for length in 0..row.len() {
        assert!(Assignment::decode_row(&row[..length]).is_err(), "cut to {length} bytes");
    }
    assert!(matches!(Assignment::decode_row(&[]), Err(RowError::KeyNotCoveredOnce { key: 0 })));
}

#[test]
fn a_lease_ends_within_the_validity_of_its_row_even_on_a_slow_clock() {
    for age_ms in (0..13_000).step_by(50) {
        let Some(lease) = TERMS.lease(at_ms(0), at_ms(age_ms)) else {
            assert!(age_ms > 11_000, "withheld after {age_ms} ms");
            continue;
        };
        let on_slow_clock = lease * 102 / 100;
        assert!(
            at_ms(age_ms) + on_slow_clock <= at_ms(0) + TERMS.row_validity,
            "after {age_ms} ms"
        );
        assert!(at_ms(age_ms) + on_slow_clock <= TERMS.lease_end(at_ms(age_ms), lease));
    }
}

#[test]
fn ranges_are_vacant_once_every_lease_of_an_older_row_has_expired() {
    let a = owner(1);
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &a);
    let mut tracker = VacancyTracker::new();
    tracker.observe(&assignment, at_ms(0));
    assignment.begin_move(range(0, 9), None, 1);
    tracker.observe(&assignment, at_ms(1_000));
    tracker.observe(&assignment, at_ms(5_000));
    assert_eq!(tracker.vacant_ranges(&assignment, &TERMS, at_ms(12_999)), []);
    let vacant =
        VacantRange { range: range(0, 9), target: a.target.clone(), seen_at: at_ms(1_000) };
    assert_eq!(tracker.vacant_ranges(&assignment, &TERMS, at_ms(13_000)), [vacant]);
    assignment.cancel_moves(&a.target);
    tracker.observe(&assignment, at_ms(13_100));
    assert_eq!(tracker.vacant_ranges(&assignment, &TERMS, at_ms(60_000)), []);
}

#[test]
fn entries_in_a_range_are_those_that_overlap_it() {
    let mut assignment = Assignment::new();
    assignment.assign(range(0, 9), &owner(1));
    assignment.assign(range(10, 19), &owner(2));
    let entries_in = |first, last| {
        let entries = assignment.entries_in(range(first, last));
        entries.map(|it| it.range).collect::<Vec<_>>()
    };
    assert_eq!(entries_in(0, 9), [range(0, 9)]);
    assert_eq!(entries_in(9, 10), [range(0, 9), range(10, 19)]);
    assert_eq!(entries_in(15, 65_535), [range(10, 19), range(20, 65_535)]);
}

/// A change of an assignment.
#[derive(Debug, Clone)]
enum Change {
    Assign(u64),
    BeginMove(Option<u64>),
    RedirectMove(Option<u64>),
    CancelMoves(u64),
    CompleteMove(u64),
    RemoveOwner(u64),
}

fn change() -> impl Strategy<Value = (Change, KeyRange)> {
    let number = 0_u64..4;
    let change = prop_oneof![
        number.clone().prop_map(Change::Assign),
        prop::option::of(number.clone()).prop_map(Change::BeginMove),
        prop::option::of(number.clone()).prop_map(Change::RedirectMove),
        number.clone().prop_map(Change::CancelMoves),
        number.clone().prop_map(Change::CompleteMove),
        number.prop_map(Change::RemoveOwner),
    ];
    // Few distinct bounds, so that ranges often adjoin, overlap or are equal.
    let bound = prop_oneof![Just(0_u16), Just(9), Just(10), Just(100), Just(65_535), any::<u16>()];
    (change, bound.clone(), bound)
        .prop_map(|(change, a, b)| (change, KeyRange { first: a.min(b), last: a.max(b) }))
}

fn apply(assignment: &mut Assignment, change: &Change, range: KeyRange) {
    match change {
        Change::Assign(to) => assignment.assign(range, &owner(*to)),
        Change::BeginMove(to) => assignment.begin_move(range, to.map(owner).as_ref(), 1),
        Change::RedirectMove(to) => assignment.redirect_move(range, to.map(owner).as_ref()),
        Change::CancelMoves(of) => {
            assignment.cancel_moves(&owner(*of).target);
        }
        Change::CompleteMove(of) => {
            assignment.complete_move(&owner(*of).target, range, "token");
        }
        Change::RemoveOwner(of) => {
            assignment.remove_owner(&owner(*of).target);
        }
    }
}

proptest! {
    #[test]
    fn entries_cover_every_key_and_fences_rise_with_each_new_owner(
        changes in prop::collection::vec(change(), 1..40),
    ) {
        let mut assignment = Assignment::new();
        for (change, range) in changes {
            let before = assignment.clone();
            apply(&mut assignment, &change, range);
            let mut next_key = 0_u32;
            for entry in assignment.entries() {
                prop_assert_eq!(u32::from(entry.range.first), next_key);
                next_key = u32::from(entry.range.last) + 1;
            }
            prop_assert_eq!(next_key, 65_536);
            for key in [0, 5, 9, 10, 50, 100, 101, 40_000, 65_535, range.first, range.last] {
                let (old, new) = (before.entry_of(key), assignment.entry_of(key));
                prop_assert!(new.fence >= old.fence);
                let is_new_owner = new.holding.holder().is_some()
                    && new.holding.holder() != old.holding.holder();
                prop_assert!(!is_new_owner || new.fence > old.fence, "key {}", key);
            }
            let decoded = Assignment::decode_row(&assignment.encode_row());
            prop_assert_eq!(decoded.as_ref(), Ok(&assignment));
        }
    }

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = Assignment::decode_row(&bytes);
    }
}

#[test]
fn a_reissued_assignment_has_higher_fencing_tokens_and_frees_leaving_keys() {
    let (one, two) = (owner(1), owner(2));
    let mut assignment = Assignment::new();
    assignment.assign(range(0, 999), &one);
    assignment.assign(range(1_000, 1_999), &two);
    assignment.begin_move(range(500, 999), Some(&two), 1);
    let reissued = assignment.reissued(1 << 32);
    assert_eq!(reissued.entry_of(0).holding, Holding::Owned(one));
    assert_eq!(reissued.entry_of(500).holding, Holding::Free);
    assert_eq!(reissued.entry_of(1_000).holding, Holding::Owned(two));
    assert!(reissued.entries().iter().all(|it| it.fence > 1 << 32));
    assert_eq!(Assignment::decode_row(&reissued.encode_row()), Ok(reissued));
}
