//! Fuzz tests of the row of an assignment: kept and mutated rows are refused, or decoded into
//! assignments with all invariants, also after each change.

use std::sync::LazyLock;

use galenastream_ranges::{
    Assignment, KeyLoad, KeyRange, Owner, PlannedMove, Planner, PlannerSettings, TargetIncarnation,
    TargetLoad,
};
use galenastream_standin::{Corpus, fuzz_config};
use proptest::{collection::vec, prelude::*};

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
        changed.begin_move(range, Some(&next), 1);
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

/// Loads as another node may report them: any ranges in any order, any numbers.
fn target_load(number: u64) -> impl Strategy<Value = TargetLoad> {
    let milli = || prop_oneof![Just(0), Just(u64::MAX), 0_u64..1 << 20, any::<u64>()];
    let key = || prop_oneof![0_u16..300, any::<u16>()];
    let load = (key(), key(), milli()).prop_map(|(a, b, milli_per_s)| KeyLoad {
        range: KeyRange { first: a.min(b), last: a.max(b) },
        per_s: milli_per_s as f64 / 1_000.0,
    });
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (vec(load, 0..5), milli(), flags).prop_map(move |(loads, capacity, flags)| {
        let target = TargetIncarnation::new(format!("t-{number}"), 1_700_000_000_000 + number);
        TargetLoad {
            owner: Owner::new(target, format!("vm-{number}")),
            capacity_per_s: capacity as f64 / 1_000.0,
            is_eligible: flags.0,
            is_limited: flags.1,
            releases_late: flags.2,
            loads,
        }
    })
}

/// Whether loads are in ascending order and do not overlap, as those of a correct node.
fn are_ascending(loads: &[KeyLoad]) -> bool {
    loads.windows(2).all(|it| it[0].range.last < it[1].range.first)
}

/// Checks that each move is of keys, and that no key is planned twice if the loads are correct.
fn check_moves(moves: &[PlannedMove], targets: &[TargetLoad]) -> Result<(), TestCaseError> {
    let is_correct = targets.iter().all(|it| are_ascending(&it.loads));
    for (position, planned) in moves.iter().enumerate() {
        prop_assert!(planned.range.first <= planned.range.last, "{:?}", moves);
        for other in &moves[..position] {
            let is_planned_twice = planned.range.overlap(other.range).is_some();
            prop_assert!(!is_correct || !is_planned_twice, "{:?}", moves);
        }
    }
    Ok(())
}

#[test]
fn kept_rows_are_decoded_or_refused() {
    for document in ROWS.documents() {
        let is_accepted = check_row(&document.bytes, KeyRange::ALL).expect(&document.name);
        assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
    }
}

/// Guards against moves of ranges that end before they begin.
#[test]
fn loads_in_descending_order_give_no_empty_range() {
    let mut rows = ROWS.documents().iter();
    let row = rows.find(|it| it.name == "equal-neighbours").expect("a kept row");
    let assignment = Assignment::decode_row(&row.bytes).unwrap();
    let target = |number: u64, capacity_per_s, is_eligible, loads| {
        let target = TargetIncarnation::new(format!("t-{number}"), 1_700_000_000_000 + number);
        let owner = Owner::new(target, format!("vm-{number}"));
        TargetLoad {
            owner,
            capacity_per_s,
            is_eligible,
            is_limited: false,
            releases_late: false,
            loads,
        }
    };
    let load = |first, last, per_s| KeyLoad { range: KeyRange { first, last }, per_s };
    let highest_per_s = u64::MAX as f64 / 1_000.0;
    let loads = vec![load(7_281, 25_427, highest_per_s), load(63, 165, 0.899)];
    let others = vec![load(0, 0, 162.001), load(0, 0, 1_048_679_174_251_882.0)];
    let targets = [
        target(1, 1_984_699_961_684_849.8, true, loads),
        target(2, highest_per_s, true, Vec::new()),
        target(3, 0.0, false, others),
    ];
    let (imbalance_ratio, busy_utilisation, moves_per_round) = (1.1, 0.5, 6);
    let settings = PlannerSettings { imbalance_ratio, busy_utilisation, moves_per_round };
    let moves = Planner::new(settings).balance(&assignment, &targets);
    assert!(!moves.is_empty());
    check_moves(&moves, &targets).expect("each range has a key");
}

/// Guards against a second move, in the same round, of keys that have just been planned to move.
#[test]
fn keys_are_planned_to_move_once_when_a_starved_target_has_a_load_near_the_limit() {
    let mut rows = ROWS.documents().iter();
    let row = rows.find(|it| it.name == "equal-neighbours").expect("a kept row");
    let assignment = Assignment::decode_row(&row.bytes).unwrap();
    let target = |number: u64, capacity_per_s, is_limited, loads| {
        let target = TargetIncarnation::new(format!("t-{number}"), 1_700_000_000_000 + number);
        let owner = Owner::new(target, format!("vm-{number}"));
        TargetLoad {
            owner,
            capacity_per_s,
            is_eligible: true,
            is_limited,
            releases_late: false,
            loads,
        }
    };
    let load = |first, last, per_s| KeyLoad { range: KeyRange { first, last }, per_s };
    let targets = [
        target(1, 0.0, true, vec![load(0, 910, 2_795_385_052_626_804.0)]),
        target(2, 1_166_290_128_527_607.8, false, Vec::new()),
        target(3, 129_578_518_919_442.89, false, vec![load(0, 0, 576.251)]),
    ];
    let (imbalance_ratio, busy_utilisation, moves_per_round) = (1.1, 0.5, 6);
    let settings = PlannerSettings { imbalance_ratio, busy_utilisation, moves_per_round };
    let moves = Planner::new(settings).balance(&assignment, &targets);
    assert!(!moves.is_empty());
    check_moves(&moves, &targets).expect("each key is planned once");
}

proptest! {
    #![proptest_config(fuzz_config(2_000))]

    #[test]
    fn mutated_rows_are_refused_or_have_all_invariants(
        row in ROWS.mutated(),
        a in any::<u16>(),
        b in any::<u16>(),
    ) {
        check_row(&row, KeyRange { first: a.min(b), last: a.max(b) })?;
    }

    #[test]
    fn moves_planned_on_any_reported_loads_are_of_keys_and_of_each_once_if_the_loads_are_correct(
        row in ROWS.mutated(),
        targets in (target_load(1), target_load(2), target_load(3)),
        sort_loads in any::<bool>(),
    ) {
        let Ok(assignment) = Assignment::decode_row(&row) else {
            return Ok(());
        };
        let mut targets = [targets.0, targets.1, targets.2];
        if sort_loads {
            for target in &mut targets {
                target.loads.sort_by_key(|it| it.range);
                target.loads.dedup_by(|next, kept| next.range.first <= kept.range.last);
            }
        }
        let (imbalance_ratio, busy_utilisation, moves_per_round) = (1.1, 0.5, 6);
        let settings = PlannerSettings { imbalance_ratio, busy_utilisation, moves_per_round };
        let planner = Planner::new(settings);
        check_moves(&planner.place_orphaned_keys(&assignment, &targets), &targets)?;
        check_moves(&planner.balance(&assignment, &targets), &targets)?;
    }
}
