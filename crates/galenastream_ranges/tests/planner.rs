//! Tests of the planner under the load patterns that it is built for.

use galenastream_ranges::{
    Assignment, Holding, KeyLoad, KeyRange, Owner, PlannedMove, Planner, PlannerSettings,
    TargetIncarnation, TargetLoad,
};

const SETTINGS: PlannerSettings =
    PlannerSettings { imbalance_ratio: 1.25, busy_utilisation: 0.55, moves_per_round: 6 };

/// The capacity of a target that announces a limit of zero.
const STARVED: f64 = 0.001;

/// Ranges of keys and the requests per second for each.
type Demand = Vec<(KeyRange, f64)>;

fn owner(number: u64) -> Owner {
    Owner::new(TargetIncarnation::new(format!("t-{number}"), 0), format!("vm-{number}"))
}

/// Returns the targets of a service with the part of the demand that each of them measures.
fn targets(assignment: &Assignment, demand: &Demand, capacities: &[f64]) -> Vec<TargetLoad> {
    let mut targets = Vec::new();
    for (number, capacity_per_s) in capacities.iter().enumerate() {
        let owner = owner(number as u64);
        let mut loads = Vec::new();
        for entry in assignment.owned_by(&owner.target) {
            for (range, per_s) in demand {
                let Some(part) = range.overlap(entry.range) else {
                    continue;
                };
                let share = f64::from(part.len()) / f64::from(range.len());
                loads.push(KeyLoad { range: part, per_s: per_s * share });
            }
        }
        let capacity_per_s = *capacity_per_s;
        let is_limited = capacity_per_s == STARVED;
        targets.push(TargetLoad {
            owner,
            capacity_per_s,
            is_limited,
            is_eligible: true,
            releases_late: false,
            loads,
        });
    }
    targets
}

/// Returns the requests per second of each target divided by its capacity.
fn utilisations(assignment: &Assignment, demand: &Demand, capacities: &[f64]) -> Vec<f64> {
    let targets = targets(assignment, demand, capacities);
    let of = |it: &TargetLoad| it.loads.iter().map(|it| it.per_s).sum::<f64>() / it.capacity_per_s;
    targets.iter().map(of).collect()
}

/// Carries out moves as if every owner released its keys at once. Returns the number of moved keys.
fn carry_out(assignment: &mut Assignment, moves: &[PlannedMove]) -> u32 {
    let mut moved = 0;
    for planned in moves {
        assignment.begin_move(planned.range, Some(&planned.to), 1);
        assignment.assign(planned.range, &planned.to);
        for holder in assignment.holders() {
            assignment.complete_move(&holder.target, planned.range, "");
        }
        moved += planned.range.len();
    }
    moved
}

fn placed(demand: &Demand, capacities: &[f64]) -> Assignment {
    let mut assignment = Assignment::new();
    let all = targets(&assignment, demand, capacities);
    let moves = Planner::new(SETTINGS).place_orphaned_keys(&assignment, &all);
    carry_out(&mut assignment, &moves);
    assignment
}

fn balance(assignment: &mut Assignment, demand: &Demand, capacities: &[f64], rounds: u32) -> u32 {
    let mut moved = 0;
    for _ in 0..rounds {
        let all = targets(assignment, demand, capacities);
        moved += carry_out(assignment, &Planner::new(SETTINGS).balance(assignment, &all));
    }
    moved
}

fn highest(utilisations: &[f64]) -> f64 {
    utilisations.iter().copied().fold(0.0, f64::max)
}

/// Returns a demand in which 200 neighbouring keys, measured one by one, receive 35% of the
/// requests.
fn demand_with_hot_range(first: u16, per_s: f64) -> Demand {
    let mut demand: Demand = Vec::new();
    for key in first..first + 200 {
        demand.push((KeyRange { first: key, last: key }, per_s * 0.35 / 200.0));
    }
    for start in (0..64_u16).map(|it| it * 1_024) {
        demand.push((KeyRange { first: start, last: start + 1_023 }, per_s * 0.65 / 64.0));
    }
    demand.sort_by_key(|(range, _)| range.first);
    demand
}

#[test]
fn free_keys_are_assigned_in_proportion_to_capacity() {
    let capacities = [100.0, 200.0, 100.0];
    let assignment = placed(&Vec::new(), &capacities);
    let keys = |number: u64| -> u32 {
        assignment.owned_by(&owner(number).target).map(|it| it.range.len()).sum()
    };
    assert_eq!(keys(0) + keys(1) + keys(2), 65_536);
    assert!(keys(1).abs_diff(2 * keys(0)) <= 2_048, "{} and {}", keys(0), keys(1));
    assert_eq!(assignment.entries().len(), 3, "neighbouring keys stay together");
}

#[test]
fn a_hot_range_is_spread_within_a_few_rounds_and_few_keys_move() {
    let capacities = [150.0, 200.0, 200.0, 380.0];
    let demand = demand_with_hot_range(61_900, 500.0);
    let mut assignment = placed(&Vec::new(), &capacities);
    let before = highest(&utilisations(&assignment, &demand, &capacities));
    let moved = balance(&mut assignment, &demand, &capacities, 3);
    let after = utilisations(&assignment, &demand, &capacities);
    assert!(before > 0.75, "the pattern overloads one target: {before}");
    assert!(highest(&after) < 0.75, "{after:?}");
    assert!(moved < 65_536 / 4, "{moved} keys moved");
}

#[test]
fn no_keys_move_while_no_target_is_busy() {
    let capacities = [150.0, 200.0, 200.0];
    let demand = demand_with_hot_range(100, 60.0);
    let mut assignment = placed(&Vec::new(), &capacities);
    assert_eq!(balance(&mut assignment, &demand, &capacities, 5), 0);
}

#[test]
fn no_keys_move_once_the_load_is_balanced() {
    let capacities = [150.0, 200.0, 200.0, 380.0];
    let demand = demand_with_hot_range(30_000, 600.0);
    let mut assignment = placed(&Vec::new(), &capacities);
    balance(&mut assignment, &demand, &capacities, 8);
    assert_eq!(balance(&mut assignment, &demand, &capacities, 5), 0);
}

#[test]
fn a_new_target_gets_keys_even_under_a_light_load() {
    let demand = demand_with_hot_range(100, 60.0);
    let mut assignment = placed(&Vec::new(), &[150.0, 200.0]);
    balance(&mut assignment, &demand, &[150.0, 200.0, 200.0], 1);
    assert!(assignment.owned_by(&owner(2).target).next().is_some());
}

#[test]
fn a_target_that_is_not_eligible_loses_all_of_its_keys() {
    let capacities = [150.0, 200.0, 200.0];
    let mut assignment = placed(&Vec::new(), &capacities);
    let mut all = targets(&assignment, &Vec::new(), &capacities);
    all[1].is_eligible = false;
    let moves = Planner::new(SETTINGS).place_orphaned_keys(&assignment, &all);
    carry_out(&mut assignment, &moves);
    assert_eq!(assignment.owned_by(&owner(1).target).count(), 0);
    let is_owned = |holding: &Holding| holding.owner().is_some();
    assert!(assignment.entries().iter().all(|it| is_owned(&it.holding)));
}

#[test]
fn without_an_eligible_target_nothing_is_planned() {
    let assignment = placed(&Vec::new(), &[100.0]);
    let mut all = targets(&assignment, &Vec::new(), &[100.0]);
    all[0].is_eligible = false;
    assert_eq!(Planner::new(SETTINGS).place_orphaned_keys(&assignment, &all), []);
    assert_eq!(Planner::new(SETTINGS).place_orphaned_keys(&Assignment::new(), &[]), []);
    assert_eq!(Planner::new(SETTINGS).balance(&assignment, &[]), []);
}

/// Guards against a long move that blocks other moves, or whose keys are planned to move again.
#[test]
fn a_move_under_way_counts_for_its_next_owner_and_holds_up_no_other() {
    let mut assignment = Assignment::new();
    let owners: Vec<Owner> = (0..3)
        .map(|it| Owner::new(TargetIncarnation::new(format!("t-{it}"), 1), format!("vm-{it}")))
        .collect();
    let range = |first, last| KeyRange::new(first, last).unwrap();
    assignment.assign(range(0, 40_000), &owners[0]);
    assignment.assign(range(40_001, 60_000), &owners[1]);
    assignment.assign(range(60_001, 65_535), &owners[2]);
    // The hottest range of the first target is moving to the third one.
    assignment.begin_move(range(0, 999), Some(&owners[2]), 1);
    let load = |first, last, per_s| KeyLoad { range: range(first, last), per_s };
    let target = |index: usize, loads: Vec<KeyLoad>| TargetLoad {
        owner: owners[index].clone(),
        capacity_per_s: 100.0,
        is_limited: false,
        is_eligible: true,
        releases_late: false,
        loads,
    };
    let targets = [
        target(0, vec![load(0, 999, 60.0), load(1_000, 1_999, 40.0), load(2_000, 2_999, 40.0)]),
        target(1, vec![load(40_001, 60_000, 10.0)]),
        target(2, vec![load(60_001, 65_535, 5.0)]),
    ];
    let moves = Planner::new(SETTINGS).balance(&assignment, &targets);
    assert!(!moves.is_empty(), "the first target is still busy");
    for planned in moves {
        assert_eq!(planned.to, owners[1], "the third one already has its share");
        assert!(planned.range.first >= 1_000, "{} is already moving", planned.range);
    }
}

/// Guards against a target that joins an idle service and gets a single hot key as its share.
#[test]
fn a_target_that_joins_an_idle_service_gets_its_share_of_the_keys() {
    let hot_key = KeyRange::new(0, 0).expect("a range");
    let demand = vec![(hot_key, 5.0)];
    let capacities = [36.0, 36.0];
    let mut assignment = placed(&demand, &capacities[..1]);
    let targets = targets(&assignment, &demand, &capacities);
    let moves = Planner::new(SETTINGS).balance(&assignment, &targets);
    let moved = carry_out(&mut assignment, &moves);
    assert!((20_000..=45_000).contains(&moved), "{moves:?}");
}

/// Guards against rounds that move nothing, since a target with a limit close to zero looks like the
/// one with the lowest utilisation, or, with a last piece, like the one with the highest.
#[test]
fn a_starved_target_does_not_hold_up_the_others() {
    let hot = |first: u16, per_s: f64| (KeyRange::new(first, first + 99).unwrap(), per_s);
    let demand: Demand = (0..10).map(|it| hot(it * 100, 15.0)).collect();
    for last_keys in [0_u32, 1, 500] {
        let mut assignment = Assignment::new();
        let range = |first, last| KeyRange::new(first, last).unwrap();
        assignment.assign(range(0, 29_999), &owner(0));
        assignment.assign(range(30_000, 65_535), &owner(1));
        if let Some(last) = u16::try_from(last_keys).ok().filter(|it| *it > 0) {
            assignment.begin_move(range(60_000, 59_999 + last), Some(&owner(2)), 1);
            assignment.complete_move(&owner(1).target, range(60_000, 59_999 + last), "");
        }
        let capacities = [200.0, 200.0, STARVED];
        let before = utilisations(&assignment, &demand, &capacities);
        assert!(before[0] > 0.7 && before[1] < 0.1, "{before:?}");
        balance(&mut assignment, &demand, &capacities, 4);
        let after = utilisations(&assignment, &demand, &capacities);
        assert!(after[0] < 0.55, "{after:?} with {last_keys} last keys");
    }
}

/// Guards against a hot key that stays with a target that takes next to no requests, since it
/// exceeds the fair share of any other.
#[test]
fn a_starved_target_passes_all_of_its_keys_on_and_gets_none() {
    let hot_key = KeyRange::new(100, 100).unwrap();
    let demand = vec![(hot_key, 90.0), (KeyRange::new(40_000, 40_099).unwrap(), 20.0)];
    let mut assignment = placed(&Vec::new(), &[100.0, 100.0, 100.0]);
    let capacities = [STARVED, 100.0, 100.0];
    balance(&mut assignment, &demand, &capacities, 30);
    let left: u32 = assignment.owned_by(&owner(0).target).map(|it| it.range.len()).sum();
    assert_eq!(left, 0);
    balance(&mut assignment, &demand, &capacities, 5);
    assert_eq!(assignment.owned_by(&owner(0).target).count(), 0);
}

/// Guards against a target without requests that never shows that its limit has ended.
#[test]
fn a_target_that_wants_a_trial_gets_the_lightest_keys_that_are_likely_to_be_requested() {
    let range = |first, last| KeyRange::new(first, last).unwrap();
    let demand: Demand = vec![
        (range(0, 9), 30.0),
        (range(50, 59), 0.2),
        (range(100, 109), 2.0),
        (range(500, 509), 9.0),
    ];
    let mut assignment = placed(&Vec::new(), &[100.0]);
    let capacities = [100.0, STARVED];
    let all = targets(&assignment, &demand, &capacities);
    let planner = Planner::new(SETTINGS);
    let wanting = [owner(1).target];
    let moves = planner.trials(&assignment, &all, &wanting);
    assert_eq!(moves, [PlannedMove { range: range(100, 109), to: owner(1) }]);
    assert_eq!(planner.trials(&assignment, &all, &[]), []);
    carry_out(&mut assignment, &moves);
    let all = targets(&assignment, &demand, &capacities);
    assert_eq!(planner.trials(&assignment, &all, &wanting), [], "it gets requests now");
    // If the response shows that the limit lasts, the keys go back.
    balance(&mut assignment, &demand, &capacities, 1);
    assert_eq!(assignment.owned_by(&owner(1).target).count(), 0);
}

/// Guards against a new target whose capacity is not measured yet and that never gets keys.
#[test]
fn a_target_without_a_limit_gets_keys_however_small_its_capacity_looks() {
    let demand = demand_with_hot_range(100, 60.0);
    let mut assignment = placed(&demand, &[5_000.0]);
    let capacities = [5_000.0, 20.0];
    balance(&mut assignment, &demand, &capacities, 1);
    assert!(assignment.owned_by(&owner(1).target).next().is_some());
}

/// Guards against hundreds of small ranges: the light keys between hot ones went to one target, the hot
/// ones to the next, and each range costs room in the row, a line in replies or a call of its own.
#[test]
fn keys_of_a_leaving_target_stay_together_although_some_are_hot() {
    let capacities = [100.0, 100.0, 100.0, 100.0];
    let mut assignment = Assignment::new();
    let quarter = |it: u16| KeyRange { first: it * 16_384, last: it * 16_384 + 16_383 };
    for number in 0..4 {
        assignment.assign(quarter(number), &owner(u64::from(number)));
    }
    // Each tenth key of a narrow band is hot.
    let mut demand: Demand = (1..4).map(|it| (quarter(it), 45.0)).collect();
    for index in 0..40_u16 {
        let hot = index * 10;
        demand.push((KeyRange { first: hot, last: hot }, 1.5));
        demand.push((KeyRange { first: hot + 1, last: hot + 9 }, 0.2));
    }
    demand.sort_by_key(|it| it.0.first);
    let mut all = targets(&assignment, &demand, &capacities);
    all[0].is_eligible = false;
    let moves = Planner::new(SETTINGS).place_orphaned_keys(&assignment, &all);
    assert!(moves.len() <= 6, "{} ranges", moves.len());
    let keys: u32 = moves.iter().map(|it| it.range.len()).sum();
    assert_eq!(keys, quarter(0).len(), "all keys are placed");
}

/// Guards against keys that nobody serves for seconds: the node beside their owner has just restarted,
/// so that a release does not count yet.
#[test]
fn no_keys_are_taken_from_a_target_that_cannot_release_them_soon() {
    let capacities = [100.0, 100.0];
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &owner(0));
    let demand: Demand = (0..16_u16)
        .map(|it| (KeyRange { first: it * 4_096, last: it * 4_096 + 4_095 }, 10.0))
        .collect();
    let mut all = targets(&assignment, &demand, &capacities);
    all[0].releases_late = true;
    assert_eq!(Planner::new(SETTINGS).balance(&assignment, &all), []);
    all[0].releases_late = false;
    assert_ne!(Planner::new(SETTINGS).balance(&assignment, &all), []);
}

/// Guards against the same for a trial, which takes keys to find out whether a limit has ended.
#[test]
fn a_trial_takes_no_keys_from_a_target_that_cannot_release_them_soon() {
    let capacities = [100.0, STARVED];
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &owner(0));
    let demand: Demand = vec![(KeyRange { first: 0, last: 99 }, 5.0)];
    let mut all = targets(&assignment, &demand, &capacities);
    let wanting = [owner(1).target];
    assert_ne!(Planner::new(SETTINGS).trials(&assignment, &all, &wanting), []);
    all[0].releases_late = true;
    assert_eq!(Planner::new(SETTINGS).trials(&assignment, &all, &wanting), []);
}
