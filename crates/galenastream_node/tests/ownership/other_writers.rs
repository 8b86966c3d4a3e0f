//! Heartbeats of another writer, in the name of the target.

use galenastream_adapter::{HeartbeatReply, Row};
use galenastream_node::{ControlEvent, ControlState, HeartbeatAnswer};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, REQUIRED_HEARTBEAT_FIELDS, heartbeat_body};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::{
    fixtures::{HEARTBEAT_MS, address, config, config_event, settings},
    simulation::at,
};

const FENCE: u64 = 1;

/// A heartbeat of the target, which holds all keys.
fn report(sequence: u64) -> Value {
    let body = heartbeat_body(HeartbeatFields {
        address: &address(0),
        service: "carts",
        slots: 8,
        sequence,
        held: &[(0, u16::MAX, FENCE)],
        released: &[],
        born_ms: None,
    });
    serde_json::from_str(&body).expect("a report")
}

/// A heartbeat without some of its fields.
fn report_without(sequence: u64, fields: &[&str]) -> Value {
    let mut report = report(sequence);
    let object = report.as_object_mut().expect("an object");
    for field in fields {
        object.remove(*field).expect("the field was there");
    }
    report
}

/// Sends a report, and returns the answer after the time for which a reply may be delayed.
fn send(state: &mut ControlState, report: &Value, now_ms: u64) -> HeartbeatAnswer {
    let (answer, mut answered) = oneshot::channel();
    let body = report.to_string().into();
    state.handle(ControlEvent::Heartbeat { target_id: "t".to_owned(), body, answer }, at(now_ms));
    state.tick(at(now_ms + HEARTBEAT_MS * 3 / 4));
    answered.try_recv().expect("the report is answered")
}

/// A node that knows of an assignment of all keys to its target, and of the config if `has_config`.
fn node(has_config: bool) -> ControlState {
    let mut state = ControlState::new(settings(0), at(0));
    let mut assignment = Assignment::new();
    let owner = Owner::new(TargetIncarnation::new("t", 0), settings(0).node_name);
    assignment.assign(KeyRange::ALL, &owner);
    let value = Some(assignment.encode_row().into());
    let rows = vec![Row { key: "keys/carts".to_owned(), value, version: 3 }];
    state.handle(ControlEvent::Rows { rows, version: 3, confirmed_at: Some(at(90)) }, at(95));
    if has_config {
        state.handle(config_event(config()), at(96));
    }
    state
}

fn is_grant(answer: &HeartbeatAnswer) -> bool {
    matches!(answer, HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, .. }) if !grants.is_empty())
}

/// Guards against a second holder of keys: a report that lacks its lists counted as one of a target
/// that holds nothing.
#[test]
fn a_report_without_its_lists_says_nothing_of_the_keys() {
    for fields in [&["holds", "released"][..], &["holds"], &["released"]] {
        let mut state = node(true);
        let answer = send(&mut state, &report(1), 100);
        assert!(is_grant(&answer), "{answer:?}");
        let leases = state.directory(at(900)).local.expect("the target").leases;
        let answer = send(&mut state, &report_without(2, fields), 1_000);
        assert!(matches!(answer, HeartbeatAnswer::Refused { .. }), "{fields:?}: {answer:?}");
        let local = state.directory(at(1_700)).local.expect("the target");
        assert_eq!(local.leases, leases, "{fields:?}");
        assert!(state.status(at(1_700)).facts.is_empty(), "{fields:?}");
        // The next report of the target has the number that the other writer used.
        let answer = send(&mut state, &report(2), 1_900);
        assert!(is_grant(&answer), "{fields:?}: {answer:?}");
    }
}

/// Guards against a second holder of keys: a report of another writer counted as the target's own although
/// fields that targets always send were missing, or of another type. It said that the target leaves and
/// holds nothing.
#[test]
fn a_report_with_fields_missing_or_of_another_type_is_refused() {
    for field in REQUIRED_HEARTBEAT_FIELDS {
        for value in [None, Some(Value::from(vec![1]))] {
            let mut state = node(true);
            let answer = send(&mut state, &report(1), 100);
            assert!(is_grant(&answer), "{answer:?}");
            let mut other = report_without(2, &[]);
            other["status"]["state"] = "draining".into();
            other["holds"] = Value::Array(Vec::new());
            let (parent, name) = field.rsplit_once('/').expect("a nested field");
            let fields =
                other.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
            fields.remove(name).expect("the field was there");
            if let Some(value) = value.clone() {
                fields.insert(name.to_owned(), value);
            }
            let answer = send(&mut state, &other, 1_000);
            assert!(matches!(answer, HeartbeatAnswer::Refused { .. }), "{field}: {answer:?}");
            let local = state.directory(at(1_700)).local.expect("the target");
            assert_eq!(local.draining_since, None, "{field}");
            assert!(state.status(at(1_700)).facts.is_empty(), "{field}");
            // The next report of the target has the number that the other writer used.
            let answer = send(&mut state, &report(2), 1_900);
            assert!(is_grant(&answer), "{field}: {answer:?}");
        }
    }
}

/// Guards against leases that another writer gets, since its report arrived before the config said that
/// the targets of the service hold keys.
#[test]
fn a_report_without_its_lists_gets_no_leases_before_the_config_is_known() {
    let mut state = node(false);
    let (answer, mut answered) = oneshot::channel();
    let body = report_without(1, &["holds", "released"]).to_string().into();
    state.handle(ControlEvent::Heartbeat { target_id: "t".to_owned(), body, answer }, at(100));
    state.handle(config_event(config()), at(200));
    state.tick(at(900));
    let answer = answered.try_recv().expect("the report is answered");
    let is_acknowledged = matches!(answer, HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged));
    assert!(is_acknowledged, "{answer:?}");
    let answer = send(&mut state, &report(2), 1_000);
    assert!(is_grant(&answer), "{answer:?}");
}

/// Guards against a node that takes the service of another writer's report for its own: requests reached
/// targets with that service as the caller's.
#[test]
fn a_report_that_names_another_service_is_refused() {
    let mut state = node(true);
    let mut other = report(1);
    other["info"]["service"] = "unknown".into();
    let answer = send(&mut state, &other, 100);
    assert!(matches!(answer, HeartbeatAnswer::Refused { .. }), "{answer:?}");
    assert!(state.directory(at(900)).local.is_none());
    let answer = send(&mut state, &report(1), 1_000);
    assert!(is_grant(&answer), "{answer:?}");
}
