//! Checks when a planner balances the load of targets.

use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_wire::{KeyLoadRecord, NodeStatus, TargetStatus};

use crate::{
    fixtures::{config, config_event, settings},
    simulation::at,
    single_node::{START_MS, TARGET, next_owner, row, send},
};

const LOWER_HALF: KeyRange = KeyRange { first: 0, last: 32_767 };
const UPPER_HALF: KeyRange = KeyRange { first: 32_768, last: u16::MAX };

/// Status of the node beside an idle target of the service.
fn idle_status() -> ControlEvent {
    ControlEvent::peer_status(NodeStatus {
        node: settings(1).node_name,
        address: "10.0.0.2:7000".to_owned(),
        data_centre: "east".to_owned(),
        reaches_store: true,
        target: Some(TargetStatus {
            service: "carts".to_owned(),
            id: "u".to_owned(),
            slots: 8,
            capacity_milli_per_s: 100_000,
            ..Default::default()
        }),
        ..Default::default()
    })
}

/// The range that an effect takes away from the overloaded target, if any.
fn moved_range(effects: &[Effect]) -> Option<KeyRange> {
    effects.iter().find_map(|it| match it {
        Effect::Commit { assignment, .. } => {
            let target = TARGET.incarnation();
            assignment.leaving(&target).map(|it| it.range).next()
        }
        _ => None,
    })
}

/// Guards against targets that stay overloaded for as long as one move of other keys is stuck, as that
/// of keys whose release is not answered.
#[test]
fn a_move_that_takes_long_does_not_hold_up_the_balancing_of_other_keys() {
    let mut assignment = Assignment::new();
    let silent = Owner::new(TargetIncarnation::new("silent", 0), settings(2).node_name);
    assignment.assign(LOWER_HALF, &TARGET.owner());
    assignment.assign(UPPER_HALF, &silent);
    assignment.begin_move(UPPER_HALF, Some(&next_owner()), 2);
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS));
    state.handle(ControlEvent::StoreReached(true), at(START_MS));
    let mut version = 3;
    let mut moved_after_ms = None;
    for after_ms in (0..8_000).step_by(100) {
        let now_ms = START_MS + after_ms;
        let mut effects = Vec::new();
        if after_ms % 500 == 0 {
            let node_2 = NodeStatus {
                node: settings(2).node_name,
                address: "10.0.0.3:7000".to_owned(),
                data_centre: "east".to_owned(),
                ..Default::default()
            };
            effects.extend(state.handle(ControlEvent::peer_status(node_2), at(now_ms)));
            effects.extend(state.handle(idle_status(), at(now_ms)));
            effects.extend(state.handle(row(&assignment, version, now_ms), at(now_ms)));
            send(&mut state, TARGET, after_ms + 1, &[(0, 32_767, 1)], now_ms);
        }
        let mut loads = Vec::new();
        for first in (0..32_768).step_by(4_096) {
            loads.push(KeyLoadRecord { first, last: first + 4_095, milli_per_s: 20_000 });
        }
        state.set_local_load(100_000, loads);
        effects.extend(state.tick(at(now_ms)));
        if moved_range(&effects).is_some() {
            moved_after_ms.get_or_insert(after_ms);
        }
        for effect in effects {
            let Effect::Commit { service, assignment: written, .. } = effect else {
                continue;
            };
            version += 1;
            assignment = Assignment::clone(&written);
            let result = Ok(version);
            let event = ControlEvent::Committed { service, assignment: written, result };
            state.handle(event, at(now_ms));
        }
    }
    let moved_after_ms = moved_after_ms.expect("the load is balanced in the end");
    assert!((2_000..4_500).contains(&moved_after_ms), "after {moved_after_ms} ms");
}
