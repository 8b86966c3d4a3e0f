//! Checks for how long a node takes the target beside it for cold.

use galenastream_adapter::{EvacuationChange, RoutingConfig};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_standin::{HeartbeatFields, cold_heartbeat_body};
use tokio::sync::oneshot;

use crate::{
    fixtures::{address, config, config_event, settings},
    simulation::at,
    single_node::START_MS,
};

/// The requests per second that a cold target bears, in thousandths.
const COLD_LIMIT_MILLI_PER_S: u64 = 11_000;

fn node_with_limit(cold_limit_milli_per_s: Option<u64>) -> ControlState {
    let mut config: RoutingConfig = config();
    config.services[0].cold_limit_milli_per_s = cold_limit_milli_per_s;
    let mut state = ControlState::new(settings(0), at(START_MS));
    state.handle(config_event(config), at(START_MS));
    state
}

/// Sends a heartbeat of the target and returns the channel of its reply.
fn heartbeat(
    state: &mut ControlState,
    sequence: u64,
    cold_remaining_ms: u64,
    now_ms: u64,
) -> oneshot::Receiver<HeartbeatAnswer> {
    let address = address(0);
    let fields = HeartbeatFields {
        address: &address,
        service: "carts",
        slots: 8,
        sequence,
        held: &[],
        released: &[],
        born_ms: Some(1),
    };
    let body = cold_heartbeat_body(fields, cold_remaining_ms);
    let (answer, reply) = oneshot::channel();
    let event = ControlEvent::Heartbeat { target_id: "t".to_owned(), body: body.into(), answer };
    state.handle(event, at(now_ms));
    reply
}

fn evacuation(
    state: &mut ControlState,
    row_version: u64,
    is_requested: bool,
    now_ms: u64,
) -> Vec<Effect> {
    let data_centre = "east".to_owned();
    let changes = vec![EvacuationChange { data_centre, row_version, is_requested }];
    state.handle(ControlEvent::EvacuationsRead { changes, read_version: None }, at(now_ms))
}

/// Whether the node limits the requests to its target.
fn is_cold(state: &ControlState, now_ms: u64) -> bool {
    let local = state.directory(at(now_ms)).local.expect("the target is known");
    if let Some(cold) = local.cold {
        assert_eq!(cold.limit.milli_per_s(), COLD_LIMIT_MILLI_PER_S);
    }
    local.cold.is_some()
}

#[test]
fn a_target_is_cold_for_as_long_as_its_heartbeats_say() {
    let mut state = node_with_limit(Some(COLD_LIMIT_MILLI_PER_S));
    let _reply = heartbeat(&mut state, 1, 3_000, START_MS);
    assert!(is_cold(&state, START_MS + 3_000));
    assert!(!is_cold(&state, START_MS + 3_200));
    let _reply = heartbeat(&mut state, 2, 0, START_MS + 900);
    assert!(!is_cold(&state, START_MS + 1_000), "it is warm before its time");
    let _reply = heartbeat(&mut state, 3, 2_000, START_MS + 1_800);
    assert!(is_cold(&state, START_MS + 3_000), "targets may become cold again");
}

/// Guards against limits in deployments that state none.
#[test]
fn a_service_without_a_limit_has_no_cold_targets() {
    let mut state = node_with_limit(None);
    let _reply = heartbeat(&mut state, 1, 3_000, START_MS);
    evacuation(&mut state, 4, true, START_MS + 100);
    evacuation(&mut state, 5, false, START_MS + 200);
    assert!(!is_cold(&state, START_MS + 300));
}

/// Guards against a target that became cold during the evacuation of its data centre, whose last
/// heartbeat before the end is older than that, or was delayed.
#[test]
fn after_an_evacuation_a_target_is_cold_until_a_later_report_says_otherwise() {
    let mut state = node_with_limit(Some(COLD_LIMIT_MILLI_PER_S));
    let _replies = [1, 2].map(|it| heartbeat(&mut state, it, 0, START_MS + 900 * it));
    evacuation(&mut state, 4, true, START_MS + 2_000);
    assert!(!is_cold(&state, START_MS + 2_100));
    let effects = evacuation(&mut state, 5, false, START_MS + 3_000);
    let asks = |it: &Effect| matches!(it, Effect::IdentifyTarget { .. });
    assert!(effects.iter().any(asks), "{effects:?}");
    assert!(is_cold(&state, START_MS + 3_100));
    let _reply = heartbeat(&mut state, 3, 0, START_MS + 3_200);
    assert!(is_cold(&state, START_MS + 3_300), "it may have been sent before the end");
    let _reply = heartbeat(&mut state, 4, 0, START_MS + 3_250);
    assert!(is_cold(&state, START_MS + 3_300), "it was sent without the answer to the third one");
    state.tick(at(START_MS + 4_000));
    let _reply = heartbeat(&mut state, 5, 0, START_MS + 4_150);
    assert!(!is_cold(&state, START_MS + 4_200), "it was sent after the answer to the fourth one");
}

/// Guards against a target that takes few requests for seconds although it said at once that it is warm.
#[test]
fn the_answer_to_a_health_check_settles_whether_a_target_is_cold() {
    let reported = |remaining_ms: u64, asked_ms: u64| ControlEvent::ColdReported {
        target_id: "t".to_owned(),
        remaining: std::time::Duration::from_millis(remaining_ms),
        asked_at: at(START_MS + asked_ms),
    };
    let mut state = node_with_limit(Some(COLD_LIMIT_MILLI_PER_S));
    let _reply = heartbeat(&mut state, 1, 0, START_MS);
    evacuation(&mut state, 4, true, START_MS + 100);
    evacuation(&mut state, 5, false, START_MS + 1_000);
    state.handle(reported(0, 900), at(START_MS + 1_010));
    assert!(is_cold(&state, START_MS + 1_020), "the answer is older than the end");
    state.handle(reported(0, 1_001), at(START_MS + 1_030));
    assert!(!is_cold(&state, START_MS + 1_040));
    state.handle(reported(1_500, 1_100), at(START_MS + 1_110));
    assert!(is_cold(&state, START_MS + 2_500) && !is_cold(&state, START_MS + 2_800));
}

/// Guards against a target that becomes cold right after the health check that found it warm.
#[test]
fn a_heartbeat_that_says_cold_counts_whenever_it_was_sent() {
    let mut state = node_with_limit(Some(COLD_LIMIT_MILLI_PER_S));
    let _reply = heartbeat(&mut state, 1, 0, START_MS);
    let checked = ControlEvent::ColdReported {
        target_id: "t".to_owned(),
        remaining: std::time::Duration::ZERO,
        asked_at: at(START_MS + 500),
    };
    state.handle(checked, at(START_MS + 510));
    let _reply = heartbeat(&mut state, 2, 8_000, START_MS + 900);
    assert!(is_cold(&state, START_MS + 1_000));
}

/// Guards against a target that stays limited since nothing reports any longer.
#[test]
fn an_unreported_target_does_not_stay_cold_for_ever() {
    let mut state = node_with_limit(Some(COLD_LIMIT_MILLI_PER_S));
    let _reply = heartbeat(&mut state, 1, 0, START_MS);
    evacuation(&mut state, 4, true, START_MS + 100);
    evacuation(&mut state, 5, false, START_MS + 1_000);
    assert!(is_cold(&state, START_MS + 3_900));
    assert!(!is_cold(&state, START_MS + 4_100));
}
