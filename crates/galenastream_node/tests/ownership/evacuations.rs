//! Checks what a node knows of evacuated data centres, and what follows from it.

use galenastream_adapter::{EvacuationChange, version_in};
use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_ranges::Assignment;
use galenastream_wire::{EvacuationRecord, NodeStatus, TargetStatus};

use crate::{
    fixtures::{config, config_event, settings},
    simulation::at,
    single_node::{START_MS, TARGET, owned_by, row, send},
};

/// The data centre of the node under test.
const HERE: &str = "east";

fn change(row_version: u64, is_requested: bool) -> EvacuationChange {
    EvacuationChange { data_centre: HERE.to_owned(), row_version, is_requested }
}

fn watched(row_version: u64, is_requested: bool) -> ControlEvent {
    let changes = vec![change(row_version, is_requested)];
    ControlEvent::EvacuationsRead { changes, read_version: None }
}

fn read(changes: Vec<EvacuationChange>, version: u64) -> ControlEvent {
    ControlEvent::EvacuationsRead { changes, read_version: Some(version) }
}

/// The status of a node in another data centre, beside an idle target of the same service.
fn other_node(evacuations: Vec<EvacuationRecord>) -> ControlEvent {
    ControlEvent::peer_status(NodeStatus {
        node: settings(1).node_name,
        address: "10.0.0.2:7000".to_owned(),
        data_centre: "west".to_owned(),
        reaches_store: true,
        target: Some(TargetStatus {
            service: "carts".to_owned(),
            id: "u".to_owned(),
            slots: 8,
            capacity_milli_per_s: 100_000,
            ..Default::default()
        }),
        evacuations,
        ..Default::default()
    })
}

fn told(row_version: u64, is_requested: bool) -> ControlEvent {
    let data_centre = HERE.to_owned();
    other_node(vec![EvacuationRecord { data_centre, row_version, is_requested }])
}

fn new_node() -> ControlState {
    let mut state = ControlState::new(settings(0), at(START_MS));
    state.handle(config_event(config()), at(START_MS));
    state
}

/// Whether the node takes its own data centre for evacuated.
fn is_evacuated(state: &ControlState, now_ms: u64) -> bool {
    state.directory(at(now_ms)).nodes[0].is_evacuated
}

/// Guards against answers that arrive late and undo what a later one has shown.
#[test]
fn the_newest_change_decides_in_whatever_order_changes_arrive() {
    let mut state = new_node();
    for event in [watched(7, true), watched(5, false), told(6, false), read(Vec::new(), 6)] {
        state.handle(event, at(START_MS));
        assert!(is_evacuated(&state, START_MS));
    }
    state.handle(watched(8, false), at(START_MS));
    assert!(!is_evacuated(&state, START_MS));
    state.handle(told(7, true), at(START_MS));
    assert!(!is_evacuated(&state, START_MS), "another node has not heard of the end yet");
}

/// Guards against a node that learns of an evacuation, or of its end, only from the store.
#[test]
fn a_node_without_the_store_learns_of_evacuations_from_others_and_passes_them_on() {
    let mut state = new_node();
    state.handle(ControlEvent::StoreReached(false), at(START_MS));
    state.handle(told(7, true), at(START_MS));
    assert!(is_evacuated(&state, START_MS));
    let expected =
        EvacuationRecord { data_centre: HERE.to_owned(), row_version: 7, is_requested: true };
    assert_eq!(state.status(at(START_MS)).evacuations, [expected]);
    state.handle(told(9, false), at(START_MS));
    assert!(!is_evacuated(&state, START_MS));
}

/// Guards against an evacuation that lasts for ever since its end fell into dropped history.
#[test]
fn a_read_of_the_store_ends_evacuations_that_it_does_not_show() {
    let mut state = new_node();
    state.handle(watched(7, true), at(START_MS));
    state.handle(read(Vec::new(), 9), at(START_MS));
    assert!(!is_evacuated(&state, START_MS));
}

/// Guards against requests to an evacuated data centre while operators write their rows again after
/// the restore of an older copy of the store.
#[test]
fn an_evacuation_outlasts_a_restored_store_that_does_not_show_it_yet() {
    let mut state = new_node();
    state.handle(watched(version_in(1, 70), true), at(START_MS));
    state.handle(read(Vec::new(), version_in(2, 60)), at(START_MS));
    state.tick(at(START_MS + 1_000));
    assert!(is_evacuated(&state, START_MS + 1_000));
    state.handle(watched(version_in(2, 61), true), at(START_MS + 1_100));
    state.tick(at(START_MS + 9_000));
    assert!(is_evacuated(&state, START_MS + 9_000), "operators have written the row again");
    state.handle(read(Vec::new(), version_in(3, 1)), at(START_MS + 10_000));
    state.tick(at(START_MS + 14_000));
    assert!(!is_evacuated(&state, START_MS + 14_000), "nobody has written it again");
}

/// Guards against a node without the store that is not told of the end after a restore.
#[test]
fn the_end_of_an_evacuation_that_a_restored_store_does_not_show_reaches_other_nodes() {
    let mut reader = new_node();
    let mut other = new_node();
    reader.handle(watched(version_in(1, 70), true), at(START_MS));
    other.handle(told(version_in(1, 70), true), at(START_MS));
    reader.handle(read(Vec::new(), version_in(2, 60)), at(START_MS));
    reader.tick(at(START_MS + 4_000));
    let status = other_node(reader.status(at(START_MS + 4_000)).evacuations);
    other.handle(status, at(START_MS + 4_000));
    assert!(!is_evacuated(&reader, START_MS + 4_000) && !is_evacuated(&other, START_MS + 4_000));
}

/// Guards against keys that stay in an evacuated data centre, where nobody may ask for them.
#[test]
fn keys_leave_an_evacuated_data_centre_and_only_that() {
    let planned_leaves = |is_requested: bool| {
        let mut assignment = owned_by(&TARGET.owner());
        let mut state = new_node();
        state.handle(ControlEvent::StoreReached(true), at(START_MS));
        state.handle(watched(3, is_requested), at(START_MS));
        let (mut version, mut leaves) = (3, 0);
        for after_ms in (0..6_000).step_by(100) {
            let now_ms = START_MS + after_ms;
            let mut effects = Vec::new();
            if after_ms % 500 == 0 {
                effects.extend(state.handle(other_node(Vec::new()), at(now_ms)));
                effects.extend(state.handle(row(&assignment, version, now_ms), at(now_ms)));
                send(&mut state, TARGET, after_ms + 1, &[(0, u16::MAX, 1)], now_ms);
            }
            effects.extend(state.tick(at(now_ms)));
            while let Some(effect) = effects.pop() {
                let Effect::Commit { service, assignment: written, .. } = effect else {
                    continue;
                };
                let target = TARGET.incarnation();
                let keys: u32 = written.leaving(&target).map(|it| it.range.len()).sum();
                leaves = leaves.max(keys);
                version += 1;
                assignment = Assignment::clone(&written);
                let result = Ok(version);
                let event = ControlEvent::Committed { service, assignment: written, result };
                effects.extend(state.handle(event, at(now_ms)));
            }
        }
        leaves
    };
    assert_eq!(planned_leaves(true), 65_536);
    assert!(planned_leaves(false) < 65_536, "some keys go to the idle target");
}
