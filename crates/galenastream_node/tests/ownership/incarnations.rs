//! Checks which heartbeats a node accepts for its local target.

use bytes::Bytes;
use galenastream_adapter::{Row, StoreError};
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, ProbeAnswer, TargetProbe,
};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, heartbeat_body};
use galenastream_wire::{LeaveRecord, LeaveRow, SharedRow, SharedRowKey, SyncState};
use prost::Message;
use tokio::sync::oneshot;

use crate::{
    fixtures::{address, config, config_event, settings},
    simulation::at,
};

fn send_heartbeat(state: &mut ControlState, id: &str, sequence: u64, now_ms: u64) -> Vec<Effect> {
    let body = heartbeat_body(HeartbeatFields {
        address: &address(0),
        service: "carts",
        slots: 8,
        sequence,
        held: &[],
        released: &[],
        born_ms: None,
    });
    let (answer, _) = oneshot::channel();
    let target_id = id.to_owned();
    state.handle(ControlEvent::Heartbeat { target_id, body: body.into(), answer }, at(now_ms))
}

fn send_probe(state: &mut ControlState, id: &str, answer: ProbeAnswer, now_ms: u64) {
    let probe = TargetProbe {
        target: TargetIncarnation::new(id, 0),
        began_at: at(now_ms),
        answer,
        open_connections: 0,
    };
    state.handle(ControlEvent::TargetProbed(probe), at(now_ms));
}

fn send_refusal(state: &mut ControlState, id: &str, now_ms: u64) {
    send_probe(state, id, ProbeAnswer::Refused, now_ms);
}

fn local_target_id(state: &ControlState, now_ms: u64) -> Option<String> {
    state.status(at(now_ms)).target.map(|it| it.id)
}

#[test]
fn a_delayed_heartbeat_does_not_revive_an_ended_incarnation() {
    let mut state = ControlState::new(settings(0), at(0));
    send_heartbeat(&mut state, "old", 1, 100);
    send_refusal(&mut state, "old", 500);
    send_heartbeat(&mut state, "old", 2, 3_000);
    assert_eq!(local_target_id(&state, 3_000), None);
    send_heartbeat(&mut state, "new", 1, 3_100);
    send_heartbeat(&mut state, "old", 3, 3_200);
    assert_eq!(local_target_id(&state, 3_200).as_deref(), Some("new"));
}

#[test]
fn a_target_that_keeps_sending_heartbeats_is_live_after_a_refused_connection() {
    let mut state = ControlState::new(settings(0), at(0));
    send_heartbeat(&mut state, "t", 1, 100);
    send_refusal(&mut state, "t", 500);
    for sequence in 2..14 {
        send_heartbeat(&mut state, "t", sequence, 100 + sequence * 900);
    }
    assert_eq!(local_target_id(&state, 13_000).as_deref(), Some("t"));
}

/// Guards against the end of a live target by a probe that began while its predecessor was known.
#[test]
fn a_refused_probe_of_an_earlier_target_does_not_end_its_successor() {
    let mut state = ControlState::new(settings(0), at(0));
    send_heartbeat(&mut state, "old", 1, 100);
    let answer = ProbeAnswer::Identified { target_id: "new".to_owned() };
    send_probe(&mut state, "old", answer, 1_390);
    send_heartbeat(&mut state, "new", 1, 1_400);
    assert_eq!(local_target_id(&state, 1_400).as_deref(), Some("new"));
    send_refusal(&mut state, "old", 1_420);
    assert_eq!(local_target_id(&state, 1_420).as_deref(), Some("new"));
}

#[test]
fn an_older_sequence_of_the_same_incarnation_is_ignored() {
    let mut state = ControlState::new(settings(0), at(0));
    send_heartbeat(&mut state, "t", 5, 100);
    send_heartbeat(&mut state, "t", 4, 9_000);
    let status = state.status(at(9_000)).target.expect("the target is known");
    assert!(status.is_silent, "the delayed heartbeat does not count");
}

#[test]
fn a_deregistration_before_the_first_heartbeat_is_binding() {
    let mut state = ControlState::new(settings(0), at(0));
    let (answer, _) = oneshot::channel();
    state.handle(ControlEvent::Deregister { target_id: "t".to_owned(), answer }, at(100));
    send_heartbeat(&mut state, "t", 9, 2_300);
    let local = state.directory(at(2_300)).local.expect("the target is known");
    assert_eq!(local.draining_since, Some(at(100)));
    let status = state.status(at(2_300)).target.expect("the target is known");
    assert!(status.is_draining, "its status tells other nodes not to choose it");
}

/// After a loss of power, the first heartbeat of a new id may be a delayed one of an earlier
/// incarnation. A health check at its address shows which target is running.
#[test]
fn an_identified_target_ends_its_predecessor_at_once() {
    let facts = |state: &ControlState, now_ms: u64| state.status(at(now_ms)).facts;
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
            ControlEvent::Rows { rows: vec![row], version: 3, confirmed_at: Some(at(90)) },
            at(95),
        );
        state.handle(config_event(config()), at(96));
        // Without the store, the facts in the status show which incarnations the node takes for
        // ended.
        state.handle(ControlEvent::StoreReached(false), at(97));
        let effects = send_heartbeat(&mut state, "new", 1, 100);
        assert!(effects.iter().any(|it| matches!(it, Effect::IdentifyTarget { .. })));
        assert!(facts(&state, 101).is_empty(), "one heartbeat proves nothing");
        let answer_to_probe = ProbeAnswer::Identified { target_id: answer.to_owned() };
        send_probe(&mut state, "new", answer_to_probe, 102);
        assert_eq!(
            !facts(&state, 103).is_empty(),
            is_ended,
            "the health check is answered by {answer}"
        );
    }
}

/// A node that restarts may get an outdated but still valid row from a peer that was cut off from
/// the store, while its target has already released keys according to a newer row.
#[test]
fn a_restarted_node_grants_nothing_on_a_row_confirmed_before_its_start() {
    const START_MS: u64 = 100_000;
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS + 10));
    let mut assignment = Assignment::new();
    let name = settings(0).node_name;
    assignment.assign(KeyRange::ALL, &Owner::new(TargetIncarnation::new("t", 0), name));
    let row = SharedRow {
        key: "keys/carts".to_owned(),
        value: assignment.encode_row().into(),
        version: 20,
        is_removed: false,
    };
    let outdated_state = SyncState {
        rows: vec![row],
        rows_version: 20,
        confirmed_age_ms: 8_000,
        ..Default::default()
    };
    let event = ControlEvent::PeerSyncState { state: outdated_state, asked_at: at(START_MS + 20) };
    state.handle(event, at(START_MS + 30));
    send_heartbeat(&mut state, "t", 7, START_MS + 100);
    let holds_key = |state: &ControlState, now_ms: u64| {
        let local = state.directory(at(now_ms)).local.expect("the target is known");
        local.leases.covers(7, at(now_ms))
    };
    state.tick(at(START_MS + 900));
    assert!(!holds_key(&state, START_MS + 900), "nothing is granted on the outdated row");
    let confirmed = ControlEvent::Rows {
        rows: Vec::new(),
        version: 20,
        confirmed_at: Some(at(START_MS + 1_000)),
    };
    state.handle(confirmed, at(START_MS + 1_010));
    send_heartbeat(&mut state, "t", 8, START_MS + 1_100);
    state.tick(at(START_MS + 1_900));
    assert!(holds_key(&state, START_MS + 1_900), "the row was confirmed after the start");
}

/// Guards against a service whose assignment is never written again by this process.
#[test]
fn a_write_that_found_the_queue_full_is_requested_again() {
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(config_event(config()), at(10));
    state.handle(ControlEvent::StoreReached(true), at(20));
    let rows = ControlEvent::Rows { rows: Vec::new(), version: 1, confirmed_at: Some(at(20)) };
    state.handle(rows, at(30));
    for sequence in 1..=2 {
        send_heartbeat(&mut state, "t", sequence, sequence * 900);
    }
    let commits = |effects: &[Effect]| {
        effects.iter().filter(|it| matches!(it, Effect::Commit { .. })).count()
    };
    assert_eq!(commits(&state.tick(at(2_100))), 1);
    assert_eq!(commits(&state.tick(at(2_200))), 0, "the write is pending");
    state.handle_dropped_commit("carts");
    assert_eq!(commits(&state.tick(at(2_300))), 1);
}

/// Sends a deregistration, and returns the channel of its answer.
fn send_deregistration(
    state: &mut ControlState,
    now_ms: u64,
) -> (Vec<Effect>, oneshot::Receiver<HeartbeatAnswer>) {
    let (answer, answered) = oneshot::channel();
    let event = ControlEvent::Deregister { target_id: "t".to_owned(), answer };
    (state.handle(event, at(now_ms)), answered)
}

/// Returns the value of the row of a leave that the effects write.
fn written_leave(effects: &[Effect]) -> Option<Bytes> {
    effects.iter().find_map(|it| match it {
        Effect::WriteLeave { value, .. } => Some(value.clone()),
        _ => None,
    })
}

/// Guards against a leave that is acknowledged before the store has it, and against writes without a
/// pause while they conflict: a row of an earlier era conflicts until the table is read again.
#[test]
fn a_leave_is_written_before_it_is_acknowledged_and_again_after_a_conflict() {
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(ControlEvent::StoreReached(true), at(50));
    send_heartbeat(&mut state, "t", 1, 100);
    let (effects, mut answered) = send_deregistration(&mut state, 200);
    let value = written_leave(&effects).expect("the leave is written");
    assert!(answered.try_recv().is_err(), "it is not acknowledged yet");
    let result = Err(StoreError::Conflict { rows: Vec::new() });
    let event = ControlEvent::LeaveWritten { value: value.clone(), result };
    assert_eq!(written_leave(&state.handle(event, at(210))), None);
    assert_eq!(written_leave(&state.tick(at(350))), Some(value.clone()));
    let event = ControlEvent::LeaveWritten { value, result: Ok(9) };
    assert_eq!(written_leave(&state.handle(event, at(360))), None);
    assert!(answered.try_recv().is_ok(), "it is acknowledged");
}

/// Guards against targets that wait in vain for an acknowledgement while the store does not answer.
#[test]
fn a_leave_is_acknowledged_in_time_without_the_store() {
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(ControlEvent::StoreReached(true), at(50));
    send_heartbeat(&mut state, "t", 1, 100);
    let (_, mut answered) = send_deregistration(&mut state, 200);
    state.tick(at(700));
    assert!(answered.try_recv().is_err());
    state.tick(at(850));
    assert!(answered.try_recv().is_ok());
    let mut state = ControlState::new(settings(0), at(0));
    send_heartbeat(&mut state, "t", 1, 100);
    let (_, mut answered) = send_deregistration(&mut state, 200);
    assert!(answered.try_recv().is_ok(), "nothing to wait for while the store is away");
}

/// Returns the state of the process after one that wrote this row of leaves.
fn restarted(value: Bytes) -> ControlState {
    let key = SharedRowKey::Leave(&settings(0).node_name).key();
    let rows = vec![Row { key, value: Some(value), version: 7 }];
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(ControlEvent::Rows { rows, version: 7, confirmed_at: None }, at(50));
    state
}

fn is_draining(state: &ControlState, now_ms: u64) -> bool {
    state.status(at(now_ms)).target.expect("the target is known").is_draining
}

/// Guards against a leave that is forgotten at a restart because another target was deregistered after
/// it: the row kept only the last one.
#[test]
fn a_leave_outlasts_a_later_deregistration_of_an_unknown_target() {
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(ControlEvent::StoreReached(true), at(50));
    send_heartbeat(&mut state, "t", 1, 100);
    let (effects, _answered) = send_deregistration(&mut state, 200);
    let value = written_leave(&effects).expect("the leave is written");
    state.handle(ControlEvent::LeaveWritten { value, result: Ok(9) }, at(210));
    let (answer, _) = oneshot::channel();
    let other = ControlEvent::Deregister { target_id: "other".to_owned(), answer };
    let value = written_leave(&state.handle(other, at(400))).expect("the leave is written");
    let mut next = restarted(value);
    send_heartbeat(&mut next, "t", 2, 300);
    assert!(is_draining(&next, 300));
}

/// Guards against a later run of a target under its id that is never used, as the run before it left
/// before its node knew it.
#[test]
fn a_deregistration_of_an_unknown_target_counts_for_one_run() {
    let mut row = LeaveRow::default();
    row.add(LeaveRecord { target_id: "t".to_owned(), born_ms: None });
    let mut state = restarted(row.encode_to_vec().into());
    state.handle(ControlEvent::StoreReached(true), at(60));
    let effects = send_heartbeat(&mut state, "t", 1, 300);
    assert!(is_draining(&state, 300));
    let value = written_leave(&effects).expect("the row names the run now");
    let row = LeaveRow::decode(value).expect("a row");
    assert!(row.names("t", 0) && !row.names("t", 5), "{row:?}");
}
