//! Which heartbeats are taken for news of the target beside a node.

use bytes::Bytes;
use galenastream_adapter::Row;
use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, heartbeat_body};
use galenastream_wire::{SharedRow, SyncState};
use tokio::sync::oneshot;

use crate::{
    documents::{address, config, settings},
    world::at,
};

fn beat(state: &mut ControlState, id: &str, sequence: u64, now_ms: u64) -> Vec<Effect> {
    let body = heartbeat_body(HeartbeatFields {
        address: &address(0),
        service: "carts",
        slots: 8,
        sequence,
        held: &[],
        released: &[],
    });
    let (answer, _) = oneshot::channel();
    let target_id = id.to_owned();
    state.handle(ControlEvent::Heartbeat { target_id, body: body.into(), answer }, at(now_ms))
}

fn target(state: &ControlState, now_ms: u64) -> Option<String> {
    state.status(at(now_ms)).target.map(|it| it.id)
}

#[test]
fn a_delayed_heartbeat_of_an_earlier_life_does_not_bring_it_back() {
    let mut state = ControlState::new(settings(0), at(0));
    beat(&mut state, "old", 1, 100);
    state.handle(ControlEvent::TargetRefused, at(500));
    beat(&mut state, "old", 2, 3_000);
    assert_eq!(target(&state, 3_000), None);
    beat(&mut state, "new", 1, 3_100);
    beat(&mut state, "old", 3, 3_200);
    assert_eq!(target(&state, 3_200).as_deref(), Some("new"));
}

#[test]
fn a_target_that_goes_on_sending_heartbeats_lives_whatever_showed_its_end() {
    let mut state = ControlState::new(settings(0), at(0));
    beat(&mut state, "t", 1, 100);
    state.handle(ControlEvent::TargetRefused, at(500));
    for sequence in 2..14 {
        beat(&mut state, "t", sequence, 100 + sequence * 900);
    }
    assert_eq!(target(&state, 13_000).as_deref(), Some("t"));
}

#[test]
fn an_older_sequence_of_the_same_life_is_no_news() {
    let mut state = ControlState::new(settings(0), at(0));
    beat(&mut state, "t", 5, 100);
    beat(&mut state, "t", 4, 9_000);
    let status = state.status(at(9_000)).target.expect("it is known");
    assert!(status.is_silent, "the delayed heartbeat does not count");
}

#[test]
fn a_leave_that_was_acknowledged_before_the_target_was_known_binds_all_the_same() {
    let mut state = ControlState::new(settings(0), at(0));
    let (answer, _) = oneshot::channel();
    state.handle(ControlEvent::Deregister { target_id: "t".to_owned(), answer }, at(100));
    beat(&mut state, "t", 9, 2_300);
    let local = state.directory(at(2_300)).local.expect("it is known");
    assert_eq!(local.draining_since, Some(at(100)));
    let status = state.status(at(2_300)).target.expect("it is known");
    assert!(status.is_draining, "other nodes choose other targets");
}

/// After a loss of power one heartbeat of the new target may be a late one of an earlier life; whoever
/// listens at its address can say who it is.
#[test]
fn a_new_target_that_says_who_it_is_ends_the_one_before_at_once() {
    let holds = |state: &ControlState, now_ms: u64| state.status(at(now_ms)).facts;
    for (answer, is_ended) in [("new", true), ("old", false)] {
        let mut state = ControlState::new(settings(0), at(0));
        let mut assignment = Assignment::new();
        let name = settings(0).node_name;
        assignment.assign(KeyRange::ALL, &Owner::new(TargetIncarnation::new("old", 0), name));
        let row = Row {
            key: "keys/carts".to_owned(),
            value: Some(assignment.encode_row().into()),
            version: 3,
        };
        state.handle(
            ControlEvent::Rows { rows: vec![row], version: 3, confirmed_at: at(90) },
            at(95),
        );
        state.handle(
            ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() },
            at(96),
        );
        // What the node would write shows what it believes.
        state.handle(ControlEvent::StoreReached(false), at(97));
        let effects = beat(&mut state, "new", 1, 100);
        assert!(effects.iter().any(|it| matches!(it, Effect::IdentifyTarget { .. })));
        assert!(holds(&state, 101).is_empty(), "one heartbeat proves nothing");
        let target_id = answer.to_owned();
        state.handle(ControlEvent::TargetIdentified { target_id }, at(102));
        assert_eq!(!holds(&state, 103).is_empty(), is_ended, "{answer} listens there");
    }
}

/// The process before this one may have seen its target release keys, as a newer row asked for. A peer
/// that was cut off since before that tells of an older row, which is still trusted.
#[test]
fn a_node_that_starts_anew_grants_nothing_on_a_row_confirmed_before() {
    const START_MS: u64 = 100_000;
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() };
    state.handle(config, at(START_MS + 10));
    let mut assignment = Assignment::new();
    let name = settings(0).node_name;
    assignment.assign(KeyRange::ALL, &Owner::new(TargetIncarnation::new("t", 0), name));
    let row = SharedRow {
        key: "keys/carts".to_owned(),
        value: assignment.encode_row().into(),
        version: 20,
    };
    let outdated = SyncState {
        rows: vec![row],
        rows_version: 20,
        confirmed_age_ms: 8_000,
        ..Default::default()
    };
    let told = ControlEvent::PeerSyncState { state: outdated, asked_at: at(START_MS + 20) };
    state.handle(told, at(START_MS + 30));
    beat(&mut state, "t", 7, START_MS + 100);
    let holds = |state: &ControlState, now_ms: u64| {
        let local = state.directory(at(now_ms)).local.expect("it is known");
        local.leases.covers(7, at(now_ms))
    };
    state.tick(at(START_MS + 900));
    assert!(!holds(&state, START_MS + 900), "nothing is granted on the older row");
    let confirmed =
        ControlEvent::Rows { rows: Vec::new(), version: 20, confirmed_at: at(START_MS + 1_000) };
    state.handle(confirmed, at(START_MS + 1_010));
    beat(&mut state, "t", 8, START_MS + 1_100);
    state.tick(at(START_MS + 1_900));
    assert!(holds(&state, START_MS + 1_900), "the row is current since the start");
}
