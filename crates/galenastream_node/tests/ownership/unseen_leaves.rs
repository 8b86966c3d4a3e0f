//! Checks that a process which has restarted uses a target that stays, and no target that may have left
//! before the start.

use galenastream_adapter::{NodeSettings, PlatformBounds};
use galenastream_node::{ControlEvent, ControlState, Effect, TargetHealth};
use tokio::sync::oneshot;

use crate::{
    fixtures::{HEARTBEAT_MS, config, config_event, settings, settings_at_start},
    simulation::at,
    single_node::{START_MS, Sender, TARGET, send, send_probe},
};

/// How long a process has to run before the platform relies on it, in the settings of these tests.
const STABLE_MS: u64 = 3_000;

/// A process that has restarted, and the settings of which name this time.
fn restarted(stable_ms: u64) -> ControlState {
    let settings = settings_at_start(settings(0), START_MS);
    let bounds = PlatformBounds { stable_ms, ..settings.bounds };
    let mut state = ControlState::new(NodeSettings { bounds, ..settings }, at(START_MS));
    state.handle(config_event(config()), at(START_MS + 10));
    state
}

/// Whether callers and other nodes may use the target after a tick.
fn is_used(state: &mut ControlState, now_ms: u64) -> bool {
    state.tick(at(now_ms));
    let is_published = state.status(at(now_ms)).target.is_some();
    assert_eq!(state.directory(at(now_ms)).local.is_some(), is_published);
    is_published
}

/// Guards against a late heartbeat that makes a target which has left usable. The time after which the
/// platform relies on the process differs between deployments.
#[test]
fn one_late_heartbeat_does_not_keep_a_target_in_use() {
    for stable_ms in [1_000, STABLE_MS, 10_000] {
        for is_store_reached in [true, false] {
            let mut state = restarted(stable_ms);
            state.handle(ControlEvent::StoreReached(is_store_reached), at(START_MS + 20));
            send(&mut state, TARGET, 7, &[], START_MS + 100);
            assert!(
                is_used(&mut state, START_MS + 200),
                "until the platform relies on the process"
            );
            assert!(!is_used(&mut state, START_MS + stable_ms), "{stable_ms}, {is_store_reached}");
        }
    }
}

/// Guards against late heartbeats that arrive together, as after a partition, and count as steady ones.
#[test]
fn late_heartbeats_that_arrive_together_do_not_keep_a_target_in_use() {
    let mut state = restarted(STABLE_MS);
    for sequence in 1..=9 {
        send(&mut state, TARGET, sequence, &[], START_MS + 1_000 + sequence * 10);
    }
    assert!(!is_used(&mut state, START_MS + STABLE_MS));
}

/// Guards against a target that goes on as before, and is out of use after a restart of its node.
#[test]
fn a_target_that_goes_on_is_used_without_a_pause() {
    let mut state = restarted(STABLE_MS);
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    for step in 1..=200 {
        let now_ms = START_MS + step * 100;
        let is_beat = (step * 100) % HEARTBEAT_MS == 0;
        if is_beat {
            send(&mut state, TARGET, step, &[], now_ms);
        }
        assert_eq!(is_used(&mut state, now_ms), step * 100 >= HEARTBEAT_MS, "{step}");
    }
}

/// Guards against a target that starts in the place of another one, and is used only after its second
/// heartbeat.
#[test]
fn a_target_that_follows_another_one_is_used_at_once() {
    let mut state = restarted(STABLE_MS);
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    for sequence in 1..=4 {
        send(&mut state, TARGET, sequence, &[], START_MS + sequence * HEARTBEAT_MS);
    }
    let ended_ms = START_MS + 4 * HEARTBEAT_MS + 1_000;
    send_probe(&mut state, TARGET, ended_ms - 10, 0, ended_ms);
    assert!(!is_used(&mut state, ended_ms));
    send(&mut state, Sender { id: "next", born_ms: None }, 1, &[], ended_ms + 100);
    assert!(is_used(&mut state, ended_ms + 200));
}

/// Guards against a target that says that it leaves, and gets no requests during its drain period.
#[test]
fn a_target_that_leaves_soon_after_a_restart_keeps_its_drain_period() {
    let mut state = restarted(STABLE_MS);
    send(&mut state, TARGET, 7, &[], START_MS + 100);
    let (answer, _answered) = oneshot::channel();
    let target_id = TARGET.id.to_owned();
    let leave = ControlEvent::Deregister { target_id, answer };
    state.handle(leave, at(START_MS + STABLE_MS - 500));
    assert!(is_used(&mut state, START_MS + STABLE_MS));
    assert!(state.status(at(START_MS + STABLE_MS)).target.is_some_and(|it| it.is_draining));
}

/// A process that has restarted during an outage of the store, and has read the config since.
fn restarted_in_outage() -> ControlState {
    let mut state = restarted(STABLE_MS);
    state.handle(ControlEvent::StoreReached(false), at(START_MS + 20));
    state
}

/// Sends heartbeats at their interval, and answers each health check of the node. Returns whether the
/// target is used after the last one.
fn is_used_after(state: &mut ControlState, heartbeats: u64, health: TargetHealth) -> bool {
    let mut now_ms = START_MS;
    for sequence in 1..=heartbeats {
        now_ms = START_MS + sequence * HEARTBEAT_MS;
        send(state, TARGET, sequence, &[], now_ms);
        let effects = state.tick(at(now_ms + 100));
        if effects.iter().any(|it| matches!(it, Effect::CheckHealth { .. })) {
            let target_id = TARGET.id.to_owned();
            state.handle(ControlEvent::HealthChecked { target_id, health }, at(now_ms + 110));
        }
    }
    is_used(state, now_ms + 200)
}

/// Guards against any number of late heartbeats, and against a target that has deregistered and goes on
/// sending heartbeats: its health checks show that it leaves.
#[test]
fn heartbeats_after_an_outage_do_not_keep_a_target_in_use_that_is_not_healthy() {
    for health in [TargetHealth::NotReady, TargetHealth::Unknown] {
        let is_used = is_used_after(&mut restarted_in_outage(), 9, health);
        assert!(!is_used, "{health:?}");
    }
    assert!(is_used_after(&mut restarted_in_outage(), 4, TargetHealth::Ready));
}

/// Guards against a target that is never used again, since its health checks are false.
#[test]
fn a_heartbeat_that_cannot_be_late_keeps_a_target_in_use() {
    assert!(is_used_after(&mut restarted_in_outage(), 13, TargetHealth::NotReady));
}
