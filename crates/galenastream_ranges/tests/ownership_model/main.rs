//! Explores all orders of the steps by which a key changes its owner, with the assignments, lease
//! terms and vacancy tracker of this package. At no time do two targets hold the key, and fencing
//! tokens rise.

mod departure;
mod display;
mod exploration;
mod injected_bug;
mod model;
mod row;
mod scope;
mod state_key;
mod step;

use exploration::Exploration;
use injected_bug::InjectedBug;
use scope::Scope;
use step::{Delivery::Answered, Step};

/// The number of states of an exploration that does not reach all of them.
const MAX_STATES: usize = 40_000;

/// Steps in which planner 2 gives the key away while planner 1, which has seen the departure,
/// misses what follows.
const KEY_WENT_AWAY: [Step; 5] = [
    Step::PlannerRevokes { planner: 0, delivery: Answered },
    Step::PlannerReads { planner: 1 },
    Step::TimePasses,
    Step::TimePasses,
    Step::PlannerCompletes { planner: 1, delivery: Answered },
];

/// Explores a scope and fails with the shortest order of steps that breaks a rule.
fn explore(prefix: &[Step], scope: &Scope) -> Exploration {
    let exploration = Exploration::run(prefix, scope, MAX_STATES);
    if let Some(found) = &exploration.counterexample {
        panic!("{} after {} steps:\n{}", found.rule, found.steps.len(), found.trace);
    }
    let Exploration { states, depth, takeovers, .. } = exploration;
    println!("{states} states, {takeovers} of them with the other target, depth {depth:?}");
    assert!(takeovers > 0, "no order gives the key to the other target");
    exploration
}

#[test]
fn a_departure_that_was_cancelled_and_begun_again_counts_from_its_second_beginning() {
    explore(&[], &Scope::new().with_cancellations());
}

#[test]
fn a_key_that_went_away_and_came_back_counts_from_its_second_departure() {
    explore(&KEY_WENT_AWAY, &Scope::new().with_moves());
}

#[test]
fn at_most_one_target_holds_the_key_in_all_orders_of_revocations() {
    let exploration = explore(&[], &Scope::new());
    assert_eq!(exploration.depth, None, "not all orders were explored");
}

#[test]
fn at_most_one_target_holds_the_key_with_longer_validities() {
    explore(&[], &Scope::new().with_terms(3_000, 2_000));
}

#[test]
fn at_most_one_target_holds_the_key_with_moves_and_returns() {
    explore(&[], &Scope::new().with_moves().with_peers());
}

#[test]
fn at_most_one_target_holds_the_key_when_its_node_restarts() {
    explore(&[], &Scope::new().with_restarts().with_peers());
}

#[test]
fn at_most_one_target_holds_the_key_when_writes_are_late() {
    explore(&[], &Scope::new().with_lost_answers());
}

/// Steps in which planner 1 waits for a departure that an earlier program has dropped, and the key
/// returns to its owner after that.
const KEY_RETURNED: [Step; 9] = [
    Step::PlannerRevokes { planner: 1, delivery: Answered },
    Step::EarlierProgramWrites,
    Step::PlannerReads { planner: 0 },
    Step::PlannerRecords { planner: 0 },
    Step::TimePasses,
    Step::TimePasses,
    Step::NodeReads,
    Step::NodeCancels(Answered),
    Step::NodeReplies,
];

#[test]
fn a_departure_that_earlier_programs_drop_counts_while_no_version_is_missed() {
    let scope = Scope::new().with_earlier_programs();
    explore(&[], &scope);
    explore(&[], &scope.with_cancellations());
    explore(&KEY_RETURNED, &scope.with_cancellations());
}

/// Checks that an exploration finds a bug.
fn assert_detected(bug: InjectedBug, prefix: &[Step], scope: &Scope, rule: &str) {
    let exploration = Exploration::run(prefix, &scope.with_bug(bug), MAX_STATES);
    let found = exploration.counterexample.map(|it| it.rule);
    assert_eq!(found, Some(rule), "{bug:?} in {} states", exploration.states);
}

const HELD_TWICE: &str = "both targets hold the key";

#[test]
fn leases_beyond_the_validity_of_a_row_are_detected() {
    assert_detected(InjectedBug::LeaseBeyondValidity, &[], &Scope::new(), HELD_TWICE);
}

#[test]
fn grants_of_leaving_keys_are_detected() {
    assert_detected(InjectedBug::GrantWhileLeaving, &[], &Scope::new(), HELD_TWICE);
}

#[test]
fn grants_on_a_row_confirmed_before_the_start_are_detected() {
    let scope = Scope::new().with_moves().with_restarts().with_peers();
    assert_detected(InjectedBug::GrantOnEarlierConfirmation, &[], &scope, HELD_TWICE);
}

#[test]
fn confirmations_later_than_the_read_are_detected() {
    assert_detected(InjectedBug::LateConfirmation, &[], &Scope::new(), HELD_TWICE);
}

#[test]
fn vacancies_without_a_wait_are_detected() {
    assert_detected(InjectedBug::ImpatientPlanner, &[], &Scope::new(), HELD_TWICE);
}

#[test]
fn departures_that_continue_over_missed_versions_are_detected() {
    let bug = InjectedBug::DepartureContinuesOverGaps;
    let scope = Scope::new().with_earlier_programs().with_cancellations();
    assert_detected(bug, &KEY_RETURNED, &scope, HELD_TWICE);
}

#[test]
fn writes_without_a_condition_are_detected() {
    let scope = Scope::new().with_moves();
    assert_detected(InjectedBug::UnconditionalWrites, &KEY_WENT_AWAY, &scope, HELD_TWICE);
}

#[test]
fn constant_fencing_tokens_are_detected() {
    let rule = "the other target holds the key under no higher fencing token";
    assert_detected(InjectedBug::ConstantFences, &[], &Scope::new(), rule);
}

#[test]
fn handovers_before_the_release_are_detected() {
    let scope = Scope::new().with_moves();
    assert_detected(InjectedBug::HandoverBeforeRelease, &[], &scope, HELD_TWICE);
}
