//! Checks when a planner takes a node for lost.

use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_ranges::{Assignment, Holding, KeyRange, Owner, TargetIncarnation};
use galenastream_wire::NodeStatus;

use crate::{
    fixtures::{address, config, config_event, settings},
    simulation::at,
    single_node::{START_MS, row},
};

/// How long a node is silent before a planner takes it for lost.
const LOSS_MS: u64 = 3_500;

/// The least time for which a planner that comes back listens: the silence may have begun before the
/// gap, by the interval of statuses.
const AFTER_GAP_MS: u64 = LOSS_MS - 1_000;

/// The owner of all keys, beside the node with index 1.
fn owner() -> Owner {
    Owner::new(TargetIncarnation::new("u", 0), settings(1).node_name)
}

fn assigned() -> Assignment {
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &owner());
    assignment
}

fn send_status(state: &mut ControlState, index: usize, now_ms: u64) -> Vec<Effect> {
    let status = NodeStatus {
        node: format!("vm-{}", address(index)),
        address: format!("10.0.0.{}:7000", index + 1),
        data_centre: "east".to_owned(),
        reaches_store: true,
        ..Default::default()
    };
    state.handle(ControlEvent::peer_status(status), at(now_ms))
}

/// A planner that hears nodes 1 and 2 for 10 s. Returns the time of their last statuses as well.
fn planner() -> (ControlState, u64) {
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS));
    state.handle(ControlEvent::StoreReached(true), at(START_MS));
    state.handle(row(&assigned(), 3, START_MS), at(START_MS));
    let mut now_ms = START_MS;
    for _ in 0..10 {
        now_ms += 1_000;
        assert!(!takes_owner_for_lost(&mut state, now_ms), "it is heard");
        send_status(&mut state, 1, now_ms);
        send_status(&mut state, 2, now_ms);
    }
    (state, now_ms)
}

/// Advances the planner and returns whether it marks the keys as leaving.
fn takes_owner_for_lost(state: &mut ControlState, now_ms: u64) -> bool {
    let is_departure = |it: &Effect| {
        let Effect::Commit { assignment, .. } = it else {
            return false;
        };
        assignment.entries().iter().any(|it| it.holding.leaving_owner().is_some())
    };
    let is_lost = state.tick(at(now_ms)).iter().any(is_departure);
    state.handle_dropped_commit("carts");
    is_lost
}

/// When the planner takes the owner for lost, from `from_ms` on, while node 2 goes on to send statuses.
fn lost_at_ms(state: &mut ControlState, from_ms: u64) -> u64 {
    for now_ms in (from_ms..from_ms + 60_000).step_by(100) {
        if (now_ms - from_ms).is_multiple_of(1_000) {
            send_status(state, 2, now_ms);
        }
        if takes_owner_for_lost(state, now_ms) {
            return now_ms;
        }
    }
    panic!("the owner is never taken for lost");
}

/// Guards against nodes that read the rows for a moment after the start: the readers take them for
/// readers until their next statuses, and do not tell them of new rows.
#[test]
fn a_starting_node_behind_two_that_reach_the_store_does_not_become_a_reader() {
    let mut state = ControlState::new(settings(3), at(START_MS));
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 10));
    for now_ms in (START_MS + 100..START_MS + 3_000).step_by(100) {
        // They do not read yet, or their statuses do not say so.
        send_status(&mut state, 0, now_ms);
        send_status(&mut state, 1, now_ms);
        state.tick(at(now_ms));
        assert!(!state.reads_rows(at(now_ms)), "{} ms", now_ms - START_MS);
    }
    let later_ms = START_MS + 4_000;
    send_status(&mut state, 0, later_ms);
    send_status(&mut state, 1, later_ms);
    assert!(state.reads_rows(at(later_ms)), "nobody else does");
}

#[test]
fn a_silent_node_is_lost_while_others_are_heard() {
    let (mut state, heard_ms) = planner();
    let lost_ms = lost_at_ms(&mut state, heard_ms);
    assert!((LOSS_MS..LOSS_MS + 200).contains(&(lost_ms - heard_ms)), "{lost_ms}");
}

/// Guards against a planner that comes back from a cut and takes all others for lost at once.
#[test]
fn a_planner_that_was_cut_off_does_not_take_the_others_for_lost() {
    let (mut state, heard_ms) = planner();
    state.handle(ControlEvent::StoreReached(false), at(heard_ms + 1_000));
    let back_ms = heard_ms + 8_000;
    state.handle(ControlEvent::StoreReached(true), at(back_ms));
    assert!(!takes_owner_for_lost(&mut state, back_ms));
    let lost_ms = lost_at_ms(&mut state, back_ms + 500);
    assert!((AFTER_GAP_MS..LOSS_MS + 1_000).contains(&(lost_ms - back_ms)), "{lost_ms}");
}

/// Guards against the same after a suspension of the planner's VM.
#[test]
fn a_planner_that_was_suspended_does_not_take_the_others_for_lost() {
    let (mut state, heard_ms) = planner();
    let back_ms = heard_ms + 8_000;
    send_status(&mut state, 2, back_ms);
    assert!(!takes_owner_for_lost(&mut state, back_ms + 10));
    let lost_ms = lost_at_ms(&mut state, back_ms);
    assert!((AFTER_GAP_MS..LOSS_MS + 200).contains(&(lost_ms - back_ms)), "{lost_ms}");
}

/// Guards against departures and cancellations in turn, tens of them in a second: the owner's node
/// reaches the store, and the planner does not hear it.
#[test]
fn an_owner_that_has_cancelled_its_departure_is_not_taken_for_lost_at_once() {
    let (mut state, heard_ms) = planner();
    let lost_ms = lost_at_ms(&mut state, heard_ms);
    let mut departed = assigned();
    departed.begin_move(KeyRange::ALL, None, 3);
    state.handle(row(&departed, 4, lost_ms + 10), at(lost_ms + 15));
    let cancelled_ms = lost_ms + 30;
    let mut cancelled = departed.clone();
    assert!(cancelled.cancel_moves(&owner().target));
    assert!(matches!(cancelled.entries()[0].holding, Holding::Owned(_)));
    state.handle(row(&cancelled, 5, cancelled_ms), at(cancelled_ms));
    let lost_ms = lost_at_ms(&mut state, cancelled_ms);
    assert!((LOSS_MS..LOSS_MS + 300).contains(&(lost_ms - cancelled_ms)), "{lost_ms}");
}
