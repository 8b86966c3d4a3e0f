//! The planner: its rules one by one, and its effect on a seeded simulation of load.

#[allow(dead_code, reason = "the example reads the rest")]
mod simulation;

use std::time::Duration;

use galenastream_ownership::{
    BootInstant, CellRow, HotKey, Incarnation, KeyHash, LiveMember, Member, PlannedChange, Planner,
    PlannerWeights, SliceId, SliceLoad, VmId,
};
use simulation::{END_S, SHIFT_AT_S, Sample, Setup, apply, row, simulate, simulate_with};

const HUNDRED_THOUSAND_KEYS: Setup = Setup { seed: 1, keys: 100_000, targets: 12, weights: None };

fn member(index: u64) -> LiveMember {
    let member = Member::new(VmId::from_bits(index + 1), Incarnation(1));
    LiveMember { member, slots: 20, draining: false }
}

fn members(count: u64) -> Vec<LiveMember> {
    (0..count).map(member).collect()
}

fn at_s(seconds: u64) -> BootInstant {
    BootInstant::default() + Duration::from_secs(seconds)
}

/// Every slice is loaded alike, but for the ones that are named.
fn loads(row: &CellRow, exceptions: &[(SliceId, u32)]) -> Vec<SliceLoad> {
    let load_of = |slice: SliceId| {
        let exception = exceptions.iter().find(|it| it.0 == slice);
        exception.map_or(100, |it| it.1)
    };
    let load = |slice| SliceLoad { slice, busy_millislots: load_of(slice), hottest: None };
    row.slices.iter().map(|it| load(it.id)).collect()
}

#[test]
fn an_even_load_is_left_alone() {
    let members = members(4);
    let row = row(&members);
    let mut planner = Planner::new(PlannerWeights::for_balance(), at_s(0));
    for second in 1..100 {
        planner.record(at_s(second), &loads(&row, &[]));
        assert_eq!(planner.plan(at_s(second), &row, &members), []);
    }
}

#[test]
fn a_hot_key_gets_a_slice_of_its_own() {
    let members = members(4);
    let mut row = row(&members);
    let parent = row.slices[5];
    let hash = KeyHash(parent.first.0 + 1_000);
    let mut planner = Planner::new(PlannerWeights::default(), at_s(0));
    let hottest = Some(HotKey { hash, share_percent: 90 });
    let mut reports = loads(&row, &[]);
    reports[5] = SliceLoad { slice: parent.id, busy_millislots: 5_000, hottest };
    planner.record(at_s(1), &reports);
    let changes = planner.plan(at_s(1), &row, &members);
    let [PlannedChange::Split { id, firsts }] = &changes[..] else { panic!("{changes:?}") };
    assert_eq!((id.slice, id.epoch), (parent.id, parent.epoch));
    assert_eq!(firsts, &[hash, KeyHash(hash.0 + 1)]);
    apply(&mut row, &changes[0]);
    let alone = row.slice_at(hash).unwrap();
    assert_eq!(alone.first, hash);
    assert!(alone.epoch > parent.epoch);
    assert_eq!(alone.owner, parent.owner);
}

#[test]
fn a_lone_key_is_not_split_again() {
    let members = members(2);
    let mut row = row(&members);
    let id = galenastream_ownership::SliceEpoch { slice: SliceId(5), epoch: row.slices[5].epoch };
    let hash = KeyHash(row.slices[5].first.0 + 1);
    apply(&mut row, &PlannedChange::Split { id, firsts: vec![hash, KeyHash(hash.0 + 1)] });
    let alone = row.slice_at(hash).unwrap().id;
    let mut planner = Planner::new(PlannerWeights::default(), at_s(0));
    planner.record(at_s(1), &loads(&row, &[(alone, 50_000)]));
    let changes = planner.plan(at_s(1), &row, &members);
    assert!(!changes.iter().any(|it| matches!(it, PlannedChange::Split { .. })), "{changes:?}");
}

#[test]
fn a_draining_member_and_one_without_target_get_nothing() {
    let mut members = members(4);
    let row = row(&members);
    members[2].draining = true;
    members[3].slots = 0;
    let overloaded: Vec<(SliceId, u32)> =
        (0..32).map(|it| (row.slices[it * 4].id, 1_000)).collect();
    let mut planner = Planner::new(PlannerWeights::for_balance(), at_s(0));
    planner.record(at_s(1), &loads(&row, &overloaded));
    let changes = planner.plan(at_s(1), &row, &members);
    assert!(!changes.is_empty());
    for change in changes {
        let PlannedChange::Move { to, .. } = change else { continue };
        assert!(to == members[0].member || to == members[1].member, "{change:?}");
    }
}

#[test]
fn a_cold_target_gets_its_share_little_by_little() {
    let mut members = members(3);
    let mut row = row(&members);
    let mut planner = Planner::new(PlannerWeights::for_balance(), at_s(0));
    planner.plan(at_s(0), &row, &members);
    members.push(member(3));
    let newcomer = members[3].member;
    let held = |row: &CellRow| {
        let count = row.slices.iter().filter(|it| it.owner == Some(newcomer)).count();
        count as f64 / row.slices.len() as f64
    };
    let mut share_at_third = 0.0;
    for second in 101..=160 {
        planner.record(at_s(second), &loads(&row, &[]));
        for change in planner.plan(at_s(second), &row, &members) {
            apply(&mut row, &change);
        }
        if second == 110 {
            share_at_third = held(&row);
        }
    }
    assert!((0.02..0.15).contains(&share_at_third), "{share_at_third} after a third of the ramp");
    assert!((0.22..0.28).contains(&held(&row)), "{} after the ramp", held(&row));
}

#[test]
fn a_cell_that_forms_without_load_is_spread_at_once() {
    let mut row = row(&members(1));
    for slice in &mut row.slices {
        slice.owner = Some(member(0).member);
    }
    let mut planner = Planner::new(PlannerWeights::for_availability(), at_s(0));
    for second in 0..20 {
        let members = members(second.clamp(1, 4));
        for change in planner.plan(at_s(second), &row, &members) {
            assert!(matches!(change, PlannedChange::Move { .. }), "{change:?}");
            apply(&mut row, &change);
        }
    }
    for it in members(4) {
        let count = row.slices.iter().filter(|slice| slice.owner == Some(it.member)).count();
        let share = count as f64 / row.slices.len() as f64;
        assert!((0.22..0.28).contains(&share), "{share} at {}", it.member);
    }
}

#[test]
fn after_a_takeover_nothing_moves_within_the_minimum_stay() {
    let members = members(4);
    let row = row(&members);
    let overloaded: Vec<(SliceId, u32)> = (0..32).map(|it| (row.slices[it * 4].id, 300)).collect();
    let weights = PlannerWeights::for_balance();
    let mut planner = Planner::new(weights, at_s(0)).with_unknown_history(at_s(0));
    for second in 1..u64::from(weights.minimum_stay_ms / 1_000) {
        planner.record(at_s(second), &loads(&row, &overloaded));
        assert_eq!(planner.plan(at_s(second), &row, &members), []);
    }
    assert!(!planner.plan(at_s(60), &row, &members).is_empty());
}

#[test]
fn no_position_moves_twice_within_the_minimum_stay() {
    let weights = PlannerWeights::for_balance();
    let setup = Setup { weights: Some(weights), keys: 10_000, ..HUNDRED_THOUSAND_KEYS };
    let stay_s = weights.minimum_stay_ms as usize / 1_000;
    let mut moved: Vec<(usize, KeyHash, KeyHash)> = Vec::new();
    simulate_with(setup, |second, row, changes| {
        for change in changes {
            let PlannedChange::Move { id, .. } = change else { continue };
            let index = row.slices.iter().position(|it| it.id == id.slice).unwrap();
            let (first, last) = (row.slices[index].first, row.last_position(index));
            let again =
                moved.iter().find(|it| second < it.0 + stay_s && it.1 <= last && first <= it.2);
            assert_eq!(again, None, "{change:?} at {second} s");
            moved.push((second, first, last));
        }
    });
    assert!(!moved.is_empty());
}

#[test]
fn the_load_is_even_two_minutes_after_a_shift_and_churn_stays_within_its_budget() {
    let off = simulate(HUNDRED_THOUSAND_KEYS)[SHIFT_AT_S + 120].max_over_mean;
    assert!(off > 1.5, "plain hashing is even: {off}");
    for weights in [PlannerWeights::for_balance(), PlannerWeights::for_availability()] {
        let setup = Setup { weights: Some(weights), ..HUNDRED_THOUSAND_KEYS };
        let samples = simulate(setup);
        let on = samples[SHIFT_AT_S + 120].max_over_mean;
        assert!(on <= 1.15, "{on}");
        check_churn(&samples, weights);
    }
}

fn check_churn(samples: &[Sample], weights: PlannerWeights) {
    for minutes in 1..=5 {
        let allowed_percent = f64::from(weights.churn_burst_percent)
            + f64::from(weights.churn_budget_percent_per_minute) * minutes as f64;
        for window in samples.windows(60 * minutes) {
            let churn: f64 = window.iter().map(|it| it.churn).sum();
            assert!(churn * 100.0 <= allowed_percent, "{churn} in {minutes} min");
        }
    }
    let settled: f64 = samples[END_S - 60..].iter().map(|it| it.churn).sum();
    assert!(settled <= 0.02, "{settled} in the last minute");
}

#[test]
fn the_same_input_gives_the_same_plan() {
    let setup =
        Setup { weights: Some(PlannerWeights::default()), keys: 1_000, ..HUNDRED_THOUSAND_KEYS };
    let mut plans = [Vec::new(), Vec::new()];
    for plan in &mut plans {
        simulate_with(setup, |_, _, changes| plan.extend_from_slice(changes));
    }
    let [first, second] = plans;
    assert_eq!(first, second);
}
