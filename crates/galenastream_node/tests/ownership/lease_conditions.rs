//! Checks under which conditions a node grants leases and assigns keys.

use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{Grant, HeartbeatReply, MalformedRow, NodeSettings, Row, version_in};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_ranges::{KeyRange, LeaseTerms};
use galenastream_wire::{EraRow, SharedRowKey, SyncQuery};
use prost::Message;

use crate::{
    fixtures::{HEARTBEAT_MS, config, config_event, settings, settings_with_bound},
    simulation::at,
    single_node::{
        ALL_KEYS, Reply, START_MS, TARGET, ended, node_with_leases, owned_by, row, send, send_probe,
    },
};

/// The validity of a row by the settings of the simulated nodes.
const ROW_VALIDITY_MS: u64 = 12_000;

/// The leases in a reply: the grants and their duration.
fn leases(reply: &mut Reply) -> (Vec<Grant>, u64) {
    match reply.try_recv().expect("the heartbeat is answered") {
        HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, lease_ms }) => (grants, lease_ms),
        HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged) => (Vec::new(), 0),
        other => panic!("the heartbeat is refused: {other:?}"),
    }
}

/// Sends the heartbeat with this sequence number and returns the leases in the reply.
fn leases_after_heartbeat(
    state: &mut ControlState,
    sequence: u64,
    now_ms: u64,
) -> (Vec<Grant>, u64) {
    let mut reply = send(state, TARGET, sequence, ALL_KEYS, now_ms);
    state.tick(at(now_ms + 800));
    leases(&mut reply)
}

fn reaches_store(state: &mut ControlState, now_ms: u64) -> Vec<Effect> {
    state.handle(ControlEvent::StoreReached(true), at(now_ms))
}

fn is_removal(effect: &Effect) -> bool {
    matches!(effect, Effect::Commit { assignment, .. } if assignment.holders().is_empty())
}

/// How long heartbeats of a target that was taken for ended count as delayed ones.
const DELAYED_MS: u64 = 10_000;

/// Guards against a lease on keys that a write in progress frees, and that its planner may give to
/// another target in the same write.
#[test]
fn a_target_whose_end_is_being_written_gets_no_lease_on_that_version() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let probe_ms = heard_ms + 1_200;
    send_probe(&mut state, TARGET, probe_ms, 0, probe_ms + 60);
    let effects = reaches_store(&mut state, probe_ms + 70);
    assert!(effects.iter().any(is_removal), "the target has ended: {effects:?}");
    let assignment = owned_by(&TARGET.owner());
    let back_ms = probe_ms + DELAYED_MS + 100;
    state.handle(row(&assignment, 3, back_ms - 10), at(back_ms - 5));
    let (grants, _) = leases_after_heartbeat(&mut state, 13, back_ms);
    assert_eq!(grants, [], "the write may still take effect");
    // The write has failed on another one.
    let later_ms = back_ms + 1_000;
    state.handle(row(&assignment, 4, later_ms), at(later_ms + 10));
    let (grants, _) = leases_after_heartbeat(&mut state, 14, later_ms + 20);
    assert_eq!(grants.len(), 1, "the target is an owner by the newer version");
}

/// The same for a node that states the end in its status, for the planner to write.
#[test]
fn a_target_whose_end_was_announced_gets_no_lease_on_that_version() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let probe_ms = heard_ms + 1_200;
    send_probe(&mut state, TARGET, probe_ms, 0, probe_ms + 60);
    assert_eq!(ended(&state, probe_ms + 70), ["t"]);
    let assignment = owned_by(&TARGET.owner());
    let back_ms = probe_ms + DELAYED_MS + 100;
    state.handle(row(&assignment, 3, back_ms - 10), at(back_ms - 5));
    state.handle(ControlEvent::StoreReached(false), at(back_ms - 2));
    let (grants, _) = leases_after_heartbeat(&mut state, 13, back_ms);
    assert_eq!(grants, [], "the planner may write the end");
    assert_eq!(ended(&state, back_ms + 900), ["t"], "the statement stands");
}

/// Guards against keys that are free by one write although their owner may get leases meanwhile, from
/// this process or the next one.
#[test]
fn keys_of_a_silent_target_are_free_only_after_a_version_on_which_they_are_leaving() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let silent_ms = heard_ms + 7_000;
    for tick_ms in (heard_ms + 900..silent_ms).step_by(100) {
        state.tick(at(tick_ms));
    }
    let effects = reaches_store(&mut state, silent_ms);
    let departed = effects.into_iter().find_map(|it| match it {
        Effect::Commit { assignment, .. } => Some(assignment),
        _ => None,
    });
    let departed = departed.expect("the leases have expired");
    assert!(departed.leaving(&TARGET.incarnation()).next().is_some(), "{departed:?}");
    let committed = ControlEvent::Committed {
        service: "carts".to_owned(),
        assignment: departed,
        result: Ok(4),
    };
    let effects = state.handle(committed, at(silent_ms + 10));
    assert!(effects.iter().any(is_removal), "{effects:?}");
}

/// Guards against leases on an assignment that a newer row, which this program cannot read, has
/// replaced.
#[test]
fn a_row_that_cannot_be_decoded_takes_the_assignment_before_out_of_force() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let unreadable = Row {
        key: "keys/carts".to_owned(),
        value: Some(Bytes::from_static(&[0xff; 9])),
        version: 4,
    };
    let confirmed_at = Some(at(heard_ms + 100));
    let event = ControlEvent::Rows { rows: vec![unreadable], version: 4, confirmed_at };
    state.handle(event, at(heard_ms + 110));
    let (grants, _) = leases_after_heartbeat(&mut state, 13, heard_ms + HEARTBEAT_MS);
    assert_eq!(grants, []);
    let assignment = owned_by(&TARGET.owner());
    state.handle(row(&assignment, 5, heard_ms + 2_000), at(heard_ms + 2_010));
    let (grants, _) = leases_after_heartbeat(&mut state, 14, heard_ms + 2_100);
    assert_eq!(grants.len(), 1);
}

/// Guards against leases that outlast what nodes with other settings wait for.
#[test]
fn leases_keep_to_the_limits_in_the_row() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let mut assignment = owned_by(&TARGET.owner());
    let max_lease = Duration::from_millis(1_500);
    assignment.raise_terms(LeaseTerms::new(Duration::from_millis(4_000), max_lease));
    let confirmed_ms = heard_ms + 100;
    state.handle(row(&assignment, 4, confirmed_ms), at(confirmed_ms + 10));
    let (grants, lease_ms) = leases_after_heartbeat(&mut state, 13, heard_ms + HEARTBEAT_MS);
    assert_eq!(grants.len(), 1);
    assert!(lease_ms <= 1_500, "{lease_ms} ms");
    let (_, lease_ms) = leases_after_heartbeat(&mut state, 14, confirmed_ms + 3_000);
    assert!(lease_ms <= 200, "{lease_ms} ms at {} ms of 4,000", 3_800);
}

/// Guards against leases that lapse before the row does on which others wait, since the node's own
/// settings permit shorter ones.
#[test]
fn a_node_with_shorter_bounds_grants_within_the_validity_of_the_row() {
    let mut state = ControlState::new(settings_with_bound(0, 4_000), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS));
    let mut assignment = owned_by(&TARGET.owner());
    let second = Duration::from_secs(1);
    assignment.raise_terms(LeaseTerms::new(12 * second, 6 * second));
    state.handle(row(&assignment, 3, START_MS + 10), at(START_MS + 20));
    let (grants, lease_ms) = leases_after_heartbeat(&mut state, 1, START_MS + 5_000);
    assert_eq!(grants.len(), 1);
    assert_eq!(lease_ms, 4_000, "the longest lease by the settings");
    let (_, lease_ms) = leases_after_heartbeat(&mut state, 2, START_MS + 9_000);
    assert!((1..=2_200).contains(&lease_ms), "{lease_ms} ms at 9,790 ms of 12,000");
}

/// When a planner that first reads the departure at `START_MS` completes the move.
fn vacant_after_ms(terms: Option<LeaseTerms>) -> u64 {
    let mut state = ControlState::new(settings(1), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS));
    reaches_store(&mut state, START_MS);
    let mut assignment = owned_by(&TARGET.owner());
    if let Some(terms) = terms {
        assignment.raise_terms(terms);
    }
    assignment.begin_move(KeyRange::ALL, None, 2);
    state.handle(row(&assignment, 3, START_MS), at(START_MS));
    for after_ms in (100..60_000).step_by(100) {
        if state.tick(at(START_MS + after_ms)).iter().any(is_removal) {
            return after_ms;
        }
        state.handle_dropped_commit("carts");
    }
    panic!("the keys never become vacant");
}

/// Guards against leases on an assignment whose newest row cannot be decoded even as a row.
#[test]
fn a_malformed_newest_row_takes_the_assignment_before_out_of_force() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let malformed = |version| {
        ControlEvent::RowsMalformed(vec![MalformedRow { key: "keys/carts".to_owned(), version }])
    };
    let assignment = owned_by(&TARGET.owner());
    // An answer with two changes, of which the later one is malformed.
    state.handle(malformed(5), at(heard_ms + 110));
    state.handle(row(&assignment, 4, heard_ms + 100), at(heard_ms + 110));
    let (grants, _) = leases_after_heartbeat(&mut state, 13, heard_ms + HEARTBEAT_MS);
    assert_eq!(grants, []);
    state.handle(row(&assignment, 6, heard_ms + 2_000), at(heard_ms + 2_010));
    state.handle(malformed(5), at(heard_ms + 2_020));
    let (grants, _) = leases_after_heartbeat(&mut state, 14, heard_ms + 2_100);
    assert_eq!(grants.len(), 1);
}

/// Guards against peers that grant leases on a row which a malformed one has replaced, since this node
/// confirms it to them.
#[test]
fn a_row_that_a_malformed_one_has_replaced_is_not_confirmed_to_peers() {
    let (mut state, heard_ms) = node_with_leases(TARGET);
    let key = "keys/carts".to_owned();
    let malformed = ControlEvent::RowsMalformed(vec![MalformedRow { key, version: 5 }]);
    state.handle(malformed, at(heard_ms + 110));
    let confirmed_at = Some(at(heard_ms + 100));
    let rows = ControlEvent::Rows { rows: Vec::new(), version: 5, confirmed_at };
    state.handle(rows, at(heard_ms + 110));
    let answer = state.sync_snapshot().state_for(&SyncQuery::default(), at(heard_ms + 120));
    assert_eq!(answer.confirmed_age_ms, u64::MAX, "{} rows", answer.rows.len());
}

/// Guards against rows of a restored store that stay out of force, since an older row in the same
/// answer names an earlier era.
#[test]
fn the_newest_row_of_the_era_in_an_answer_puts_it_in_force() {
    let mut state = ControlState::new(settings(0), at(START_MS));
    state.handle(config_event(config()), at(START_MS));
    let era_row = |era, number| {
        let value = Some(Bytes::from(EraRow { era }.encode_to_vec()));
        Row { key: SharedRowKey::Era.key(), value, version: version_in(2, number) }
    };
    let assignment = Row {
        key: "keys/carts".to_owned(),
        value: Some(owned_by(&TARGET.owner()).encode_row().into()),
        version: version_in(2, 6),
    };
    let rows = vec![era_row(1, 5), assignment, era_row(2, 7)];
    let confirmed_at = Some(at(START_MS + 10));
    let event = ControlEvent::Rows { rows, version: version_in(2, 7), confirmed_at };
    state.handle(event, at(START_MS + 20));
    let (grants, _) = leases_after_heartbeat(&mut state, 1, START_MS + 1_000);
    assert_eq!(grants.len(), 1);
}

/// Guards against a takeover before the leases end that nodes with longer limits have granted.
#[test]
fn a_planner_waits_for_the_limits_in_the_row() {
    let second = Duration::from_secs(1);
    assert_eq!(vacant_after_ms(Some(LeaseTerms::new(20 * second, 9 * second))), 20_000);
    assert_eq!(vacant_after_ms(None), ROW_VALIDITY_MS, "the limits of the own settings");
}

/// When a node that starts with an empty store first writes an assignment.
fn first_write_after_ms(is_first_start: bool) -> u64 {
    let settings = NodeSettings { is_first_start, ..settings(0) };
    let mut state = ControlState::new(settings, at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS));
    reaches_store(&mut state, START_MS);
    let rows =
        ControlEvent::Rows { rows: Vec::new(), version: 1, confirmed_at: Some(at(START_MS)) };
    state.handle(rows, at(START_MS));
    for sequence in 1..40 {
        let now_ms = START_MS + sequence * HEARTBEAT_MS;
        send(&mut state, TARGET, sequence, &[], now_ms);
        state.handle_dropped_commit("carts");
        let effects = state.tick(at(now_ms + 100));
        if effects.iter().any(|it| matches!(it, Effect::Commit { .. })) {
            return now_ms - START_MS;
        }
    }
    panic!("the keys are never assigned");
}

/// Guards against an assignment that begins anew while leases on a lost one last.
#[test]
fn keys_without_a_row_are_assigned_only_after_the_leases_of_a_lost_row() {
    assert!(first_write_after_ms(true) <= 3 * HEARTBEAT_MS, "a first start has no leases");
    assert!(first_write_after_ms(false) >= ROW_VALIDITY_MS - 100);
}
