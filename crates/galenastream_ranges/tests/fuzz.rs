//! Fuzz tests of the row of an assignment: kept and mutated rows are refused, or decoded into
//! assignments with all invariants, also after each change.

use std::sync::LazyLock;

use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{Corpus, fuzz_config};
use proptest::prelude::*;

static ROWS: LazyLock<Corpus> = LazyLock::new(|| {
    Corpus::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/assignment"))
        .expect("the corpus is in the repository")
});

fn check_invariants(assignment: &Assignment) -> Result<(), TestCaseError> {
    let mut next_key = 0_u32;
    for entry in assignment.entries() {
        prop_assert_eq!(u32::from(entry.range.first), next_key);
        prop_assert!(entry.range.first <= entry.range.last);
        prop_assert!(entry.fence <= assignment.highest_fence());
        next_key = u32::from(entry.range.last) + 1;
    }
    prop_assert_eq!(next_key, 65_536);
    let decoded = Assignment::decode_row(&assignment.encode_row());
    prop_assert_eq!(decoded.as_ref(), Ok(assignment));
    Ok(())
}

/// Checks that each change keeps the invariants, and that a new owner gets a higher fencing token.
fn check_changes(assignment: &Assignment, range: KeyRange) -> Result<(), TestCaseError> {
    let next = Owner::new(TargetIncarnation::new("next", 1), "vm-next");
    let mut changed = assignment.clone();
    for holder in assignment.holders() {
        changed.begin_move(range, Some(&next));
        check_invariants(&changed)?;
        changed.complete_move(&holder.target, range, "token");
        check_invariants(&changed)?;
        changed.remove_owner(&holder.target);
        check_invariants(&changed)?;
    }
    changed.assign(KeyRange::ALL, &next);
    check_invariants(&changed)?;
    for entry in changed.owned_by(&next.target) {
        let earlier = assignment.entry_of(entry.range.first);
        prop_assert!(entry.fence > earlier.fence || entry.holding == earlier.holding);
    }
    check_invariants(&assignment.reissued(1 << 32))?;
    prop_assert!(assignment.reissued(0).highest_fence() > assignment.highest_fence());
    Ok(())
}

/// Checks a row, and returns whether it is accepted.
fn check_row(row: &[u8], range: KeyRange) -> Result<bool, TestCaseError> {
    let Ok(assignment) = Assignment::decode_row(row) else {
        return Ok(false);
    };
    check_invariants(&assignment)?;
    check_changes(&assignment, range)?;
    Ok(true)
}

#[test]
fn kept_rows_are_decoded_or_refused() {
    for document in ROWS.documents() {
        let is_accepted = check_row(&document.bytes, KeyRange::ALL).expect(&document.name);
        assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
    }
}

proptest! {
    #![proptest_config(fuzz_config(4_000))]

    #[test]
    fn mutated_rows_are_refused_or_have_all_invariants(
        row in ROWS.mutated(),
        a in any::<u16>(),
        b in any::<u16>(),
    ) {
        check_row(&row, KeyRange { first: a.min(b), last: a.max(b) })?;
    }
}
