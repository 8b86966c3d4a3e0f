//! Checks what a node takes for proof that a target holds keys no longer.

use galenastream_adapter::HeartbeatReply;
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};

use crate::{
    fixtures::{config, config_event, settings},
    simulation::at,
    single_node::{
        ALL_KEYS, EARLIER_LEASES_MS, START_MS, Sender, TARGET, begin_move, ended, next_owner,
        node_with_leases, owned_by, released, row, send, send_probe, send_releases, started_node,
    },
};

/// The start times of targets are times of day, which may be set, and heartbeats may be delayed.
#[test]
fn one_heartbeat_with_a_later_start_does_not_end_a_live_target() {
    let target = Sender { id: "t", born_ms: Some(50_000) };
    let (mut state, now_ms) = node_with_leases(target);
    send(&mut state, Sender { id: "earlier", born_ms: Some(50_001) }, 70, &[], now_ms + 850);
    assert_eq!(ended(&state, now_ms + 860), Vec::<String>::new());
    let mut reply = send(&mut state, target, 13, ALL_KEYS, now_ms + 900);
    state.tick(at(now_ms + 1_700));
    let reply = reply.try_recv().expect("the heartbeat is answered");
    let HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, .. }) = reply else {
        panic!("the live target gets no leases: {reply:?}");
    };
    assert!(!grants.is_empty(), "the live target keeps its keys");
}

/// The heartbeats of the known target may only be delayed, however long it is silent. Its leases last
/// for 6 s.
#[test]
fn a_heartbeat_of_another_id_does_not_end_a_target_with_delayed_heartbeats() {
    for silence_ms in [1_300, 2_500, 5_500] {
        let (mut state, now_ms) = node_with_leases(TARGET);
        let earlier = Sender { id: "earlier", born_ms: None };
        send(&mut state, earlier, 70, &[], now_ms + silence_ms);
        let ended = ended(&state, now_ms + silence_ms + 10);
        assert_eq!(ended, Vec::<String>::new(), "after {silence_ms} ms");
    }
}

/// The process of the node has started beside a running target, and hears of an earlier one first.
#[test]
fn delayed_heartbeats_of_an_ended_target_do_not_end_the_running_one() {
    let mut state = started_node(&owned_by(&TARGET.owner()));
    let earlier = Sender { id: "earlier", born_ms: None };
    for sequence in 70..73 {
        let now_ms = START_MS + 100 + sequence;
        send(&mut state, earlier, sequence, &[], now_ms);
        assert_eq!(ended(&state, now_ms + 1), Vec::<String>::new(), "sequence {sequence}");
    }
    let now_ms = START_MS + EARLIER_LEASES_MS;
    state.tick(at(now_ms));
    assert_eq!(ended(&state, now_ms), Vec::<String>::new(), "leases may last");
}

#[test]
fn refused_connections_do_not_end_a_target_with_open_connections() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    send_probe(&mut state, TARGET, now_ms + 1_200, 2, now_ms + 1_260);
    assert_eq!(ended(&state, now_ms + 1_270), Vec::<String>::new());
}

#[test]
fn refused_connections_do_not_end_a_target_that_has_sent_a_heartbeat_meanwhile() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let probe_ms = now_ms + 1_200;
    send(&mut state, TARGET, 13, ALL_KEYS, probe_ms + 30);
    send_probe(&mut state, TARGET, probe_ms, 0, probe_ms + 60);
    assert_eq!(ended(&state, probe_ms + 70), Vec::<String>::new());
}

#[test]
fn refused_connections_to_an_earlier_target_do_not_end_its_successor() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let earlier = Sender { id: "earlier", born_ms: None };
    send_probe(&mut state, earlier, START_MS - 500, 0, now_ms + 100);
    assert_eq!(ended(&state, now_ms + 110), Vec::<String>::new());
}

/// A closed listener without connections and heartbeats is that of an ended process: its keys need
/// not wait for its leases.
#[test]
fn refused_connections_end_a_silent_target_without_connections() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    send_probe(&mut state, TARGET, now_ms + 1_200, 0, now_ms + 1_260);
    assert_eq!(ended(&state, now_ms + 1_270), ["t"]);
}

/// The heartbeat was sent before the process before granted the keys, and arrives after the restart.
#[test]
fn a_heartbeat_from_before_the_grant_does_not_prove_that_keys_were_never_held() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    send(&mut state, TARGET, 7, &[], START_MS + 100);
    for now_ms in (START_MS + 110..START_MS + EARLIER_LEASES_MS).step_by(100) {
        state.tick(at(now_ms));
        assert_eq!(released(&state, now_ms), Vec::<String>::new(), "at {now_ms} ms");
    }
}

/// The heartbeat reports a release of keys that the target has got again since.
#[test]
fn a_release_from_before_the_grant_does_not_count() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    let release = (0, u16::MAX, "earlier".to_owned());
    send_releases(&mut state, TARGET, 7, &[], &[release], START_MS + 100);
    for now_ms in (START_MS + 110..START_MS + EARLIER_LEASES_MS).step_by(100) {
        state.tick(at(now_ms));
        assert_eq!(released(&state, now_ms), Vec::<String>::new(), "at {now_ms} ms");
    }
}

/// What a target releases in reply to this process is handed over at once.
#[test]
fn a_release_after_the_start_counts_at_once() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    send(&mut state, TARGET, 8, ALL_KEYS, START_MS + 100);
    state.tick(at(START_MS + 110));
    let release = (0, u16::MAX, "token".to_owned());
    send_releases(&mut state, TARGET, 9, &[], &[release], START_MS + 300);
    state.tick(at(START_MS + 310));
    assert!(released(&state, START_MS + 310).contains(&"token".to_owned()));
}

/// The planner misses the row in which the owner is back. All leases that the owner has got on it
/// end within the validity of a row after the second departure.
#[test]
fn a_departure_that_was_taken_back_does_not_count_for_the_vacancy() {
    let target = TARGET.owner();
    let mut state = ControlState::new(settings(1), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS + 10));
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    let mut departed = owned_by(&target);
    begin_move(&mut departed, None, 1);
    state.handle(row(&departed, 2, START_MS + 5_000), at(START_MS + 5_010));
    let mut departed_again = owned_by(&target);
    begin_move(&mut departed_again, None, 3);
    let again_ms = START_MS + 16_500;
    state.handle(row(&departed_again, 4, again_ms), at(again_ms + 10));
    let mut completed_ms = None;
    for now_ms in (again_ms + 20..again_ms + 14_000).step_by(100) {
        let is_completed = |it: &Effect| matches!(it, Effect::Commit { assignment, .. } if assignment.holders().is_empty());
        if state.tick(at(now_ms)).iter().any(is_completed) {
            completed_ms = Some(now_ms);
            break;
        }
        state.handle_dropped_commit("carts");
    }
    let completed_ms = completed_ms.expect("the keys become vacant");
    let after_ms = completed_ms - again_ms;
    assert!(after_ms >= 12_000, "vacant {after_ms} ms after the second departure");
}
