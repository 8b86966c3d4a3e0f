//! Checks that keys of a lost owner do not stay without a holder, and that live owners keep theirs.

use galenastream_adapter::HeartbeatReply;
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, ProbeAnswer, TargetProbe,
};
use galenastream_wire::NodeStatus;

use crate::{
    fixtures::{HEARTBEAT_MS, config, config_event, settings},
    simulation::at,
    single_node::{
        ALL_KEYS, START_MS, Sender, TARGET, begin_move, ended, heartbeat, next_owner,
        node_with_leases, owned_by, row,
    },
};

fn status_of(index: usize) -> ControlEvent {
    let settings = settings(index);
    ControlEvent::peer_status(NodeStatus {
        node: settings.node_name,
        address: settings.listeners.peers.to_string(),
        data_centre: settings.data_centre,
        ..NodeStatus::default()
    })
}

fn planner() -> ControlState {
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS + 10));
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    state
}

/// After how long the planner revokes the keys of a lost node, if the only other node is heard in
/// this interval.
fn revoked_after_ms(status_interval_ms: u64) -> Option<u64> {
    let mut state = planner();
    let lost_ms = START_MS + 5_000;
    state.handle(row(&owned_by(&next_owner()), 3, lost_ms - 20), at(lost_ms - 10));
    state.handle_dropped_commit("carts");
    state.handle(status_of(1), at(lost_ms));
    state.handle_dropped_commit("carts");
    for now_ms in (lost_ms + 10..lost_ms + 120_000).step_by(10) {
        let after_ms = now_ms - lost_ms;
        let mut effects = Vec::new();
        if after_ms.is_multiple_of(status_interval_ms) {
            effects.extend(state.handle(status_of(2), at(now_ms)));
        }
        if after_ms.is_multiple_of(100) {
            effects.extend(state.tick(at(now_ms)));
        }
        for effect in effects {
            let Effect::Commit { assignment, .. } = effect else {
                continue;
            };
            if assignment.leaving(&next_owner().target).next().is_some() {
                return Some(after_ms);
            }
            state.handle_dropped_commit("carts");
        }
    }
    None
}

/// Guards against a lost node that keeps its keys as long as the only other one is slow or its link
/// loses every second status.
#[test]
fn a_lost_node_is_noticed_while_statuses_of_others_are_late() {
    for interval_ms in [1_000, 1_400, 1_600, 2_000, 3_000] {
        let after_ms = revoked_after_ms(interval_ms);
        assert!(
            after_ms.is_some_and(|it| it <= 10_000),
            "statuses every {interval_ms} ms: revoked after {after_ms:?} ms of 120 s"
        );
    }
}

/// Guards against a target that waits for the leases of the one before, since the first health check
/// was not answered in time. Each later one is.
#[test]
fn a_health_check_without_an_answer_is_repeated() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let next = Sender { id: "next", born_ms: None };
    let mut checked_at_ms = Vec::new();
    let mut ended_after_ms = None;
    for after_ms in (100..10_000).step_by(100) {
        let at_ms = now_ms + after_ms;
        let mut effects = state.tick(at(at_ms));
        if after_ms.is_multiple_of(HEARTBEAT_MS) {
            let (heartbeat, _reply) = heartbeat(next, after_ms / HEARTBEAT_MS, &[], &[]);
            effects.extend(state.handle(heartbeat, at(at_ms)));
        }
        if effects.iter().any(|it| matches!(it, Effect::IdentifyTarget { .. })) {
            checked_at_ms.push(after_ms);
            if checked_at_ms.len() > 1 {
                let answer = ProbeAnswer::Identified { target_id: next.id.to_owned() };
                let (target, began_at) = (TARGET.incarnation(), at(at_ms));
                let probe = TargetProbe { target, began_at, answer, open_connections: 0 };
                state.handle(ControlEvent::TargetProbed(probe), at(at_ms + 50));
            }
        }
        if ended_after_ms.is_none() && !ended(&state, at_ms + 60).is_empty() {
            ended_after_ms = Some(after_ms);
        }
    }
    assert!(
        ended_after_ms.is_some_and(|it| it <= 4_000),
        "checked at {checked_at_ms:?}, ended after {ended_after_ms:?} ms"
    );
}

/// Guards against the end of a live target by the silence of a node that was suspended itself.
#[test]
fn a_suspended_node_does_not_take_its_target_for_ended() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    state.handle(ControlEvent::StoreReached(true), at(now_ms + 850));
    state.handle_dropped_commit("carts");
    let resumed_ms = now_ms + 8_000;
    let effects = state.tick(at(resumed_ms));
    let is_removed = |it: &Effect| matches!(it, Effect::Commit { assignment, .. } if assignment.holders().is_empty());
    assert!(!effects.iter().any(is_removed), "removed before waiting heartbeats are read");
}

/// Guards against a lost owner whose keys are never vacant, since nodes of an earlier version drop
/// the departure from each row that they write.
#[test]
fn rows_without_departures_do_not_put_off_the_vacancy_for_good() {
    let mut state = planner();
    let lost_ms = START_MS + 5_000;
    let mut departed = owned_by(&next_owner());
    begin_move(&mut departed, None, 0);
    let mut version = 3;
    let mut freed_after_ms = None;
    for now_ms in (lost_ms..lost_ms + 60_000).step_by(100) {
        let mut effects = Vec::new();
        if (now_ms - lost_ms).is_multiple_of(5_000) {
            version += 1;
            effects.extend(state.handle(row(&departed, version, now_ms - 10), at(now_ms)));
        }
        effects.extend(state.tick(at(now_ms)));
        for effect in effects {
            let Effect::Commit { assignment, .. } = effect else {
                continue;
            };
            if assignment.holders().is_empty() {
                freed_after_ms.get_or_insert(now_ms - lost_ms);
                continue;
            }
            version += 1;
            let committed = ControlEvent::Committed {
                service: "carts".to_owned(),
                assignment,
                result: Ok(version),
            };
            state.handle(committed, at(now_ms + 10));
        }
    }
    assert!(freed_after_ms.is_some_and(|it| it <= 30_000), "free after {freed_after_ms:?} ms");
}

/// Guards against a target that releases its keys, and holds them cold afterwards, since a planner
/// that does not hear its node has taken that for lost.
#[test]
fn a_move_that_is_being_cancelled_takes_no_keys_from_the_target() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    state.handle(ControlEvent::StoreReached(true), at(now_ms + 850));
    state.handle_dropped_commit("carts");
    let (event, mut reply) = heartbeat(TARGET, 13, ALL_KEYS, &[]);
    state.handle(event, at(now_ms + 900));
    state.handle_dropped_commit("carts");
    let mut departed = owned_by(&TARGET.owner());
    begin_move(&mut departed, None, 3);
    let effects = state.handle(row(&departed, 4, now_ms + 940), at(now_ms + 950));
    let is_cancelled = |it: &Effect| matches!(it, Effect::Commit { assignment, .. } if assignment.owned_by(&TARGET.incarnation()).next().is_some());
    assert!(effects.iter().any(is_cancelled), "the node cancels the move");
    if let Ok(HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, .. })) = reply.try_recv() {
        assert!(!grants.is_empty(), "told to release before the cancellation is written");
    }
}
