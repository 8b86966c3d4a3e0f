//! Checks when a node doubts that its config is the newest one.

use galenastream_adapter::ConfigVersion;
use galenastream_node::{ConfigDoubt, ControlEvent, ControlState};
use galenastream_wire::NodeStatus;

use crate::{
    fixtures::{address, config, settings},
    simulation::at,
};

/// An instant at which the node has long heard of its peers.
const SETTLED_MS: u64 = 20_000;

fn status(index: usize, config_version: u64, reaches_store: bool) -> ControlEvent {
    ControlEvent::PeerStatus(NodeStatus {
        node: format!("vm-{}", address(index)),
        address: format!("10.0.0.{}:7000", index + 1),
        data_centre: "east".to_owned(),
        config_version,
        reaches_store,
        ..Default::default()
    })
}

fn put_config(state: &mut ControlState, version: u64, now_ms: u64) {
    let config = Box::new(galenastream_adapter::RoutingConfig {
        version: ConfigVersion(version),
        ..config()
    });
    state.handle(ControlEvent::Config { config, encoded: Default::default() }, at(now_ms));
}

/// A node with config 1 that reaches the store.
fn settled_node() -> ControlState {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(SETTLED_MS));
    state
}

/// Guards against 404 for a route that another node already serves.
#[test]
fn a_config_is_doubted_while_a_peer_announces_a_newer_one() {
    let mut state = settled_node();
    assert_eq!(state.config_doubt(at(SETTLED_MS)), None);
    state.handle(status(1, 2, true), at(SETTLED_MS + 10));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 10)), Some(ConfigDoubt::NewerAnnounced));
    put_config(&mut state, 2, SETTLED_MS + 50);
    assert_eq!(state.config_doubt(at(SETTLED_MS + 50)), None);
    // A peer with an older config says nothing about this one.
    state.handle(status(2, 1, true), at(SETTLED_MS + 60));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 60)), None);
}

/// Guards against 404 for a route of a newer config that the node cannot decode.
#[test]
fn a_config_is_doubted_while_the_store_has_a_newer_one_that_cannot_be_decoded() {
    let mut state = settled_node();
    put_config(&mut state, 5, SETTLED_MS);
    let mut doubt_after = |version, now_ms| {
        state.handle(ControlEvent::ConfigUnreadable { version }, at(now_ms));
        let doubt = state.config_doubt(at(now_ms));
        put_config(&mut state, 4, now_ms + 1);
        assert_eq!(state.config_doubt(at(now_ms + 1)), None, "the store has a config that is read");
        doubt
    };
    assert_eq!(doubt_after(Some(4), SETTLED_MS + 10), None);
    assert_eq!(doubt_after(Some(5), SETTLED_MS + 20), None);
    assert_eq!(doubt_after(Some(6), SETTLED_MS + 30), Some(ConfigDoubt::NewerUnreadable));
    assert_eq!(doubt_after(None, SETTLED_MS + 40), Some(ConfigDoubt::NewerUnreadable));
}

/// Guards against 404 of a node whose peers cannot decode the newest config either.
#[test]
fn the_doubt_about_an_unreadable_config_outlasts_the_statuses_of_peers() {
    let mut state = settled_node();
    state.handle(ControlEvent::ConfigUnreadable { version: None }, at(SETTLED_MS + 10));
    state.handle(status(1, 1, true), at(SETTLED_MS + 20));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 20)), Some(ConfigDoubt::NewerUnreadable));
}

/// Guards against 404 of a node that is cut off from the store while operators change the config.
#[test]
fn a_config_is_doubted_without_the_store_unless_a_peer_that_reaches_it_has_the_same_one() {
    let mut state = settled_node();
    state.handle(ControlEvent::StoreReached(false), at(SETTLED_MS + 10));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 10)), Some(ConfigDoubt::StoreUnreachable));
    state.handle(status(1, 1, false), at(SETTLED_MS + 20));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 20)), Some(ConfigDoubt::StoreUnreachable));
    state.handle(status(2, 1, true), at(SETTLED_MS + 30));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 30)), None);
    // The confirmation lasts as long as the peer is heard from.
    let later = at(SETTLED_MS + 6_000);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
    state.handle(ControlEvent::StoreReached(true), later);
    assert_eq!(state.config_doubt(later), None);
}

/// Guards against 404 of a node that starts on an old copy of the config.
#[test]
fn a_config_is_doubted_until_the_peers_were_heard_from_after_the_start() {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(100));
    assert_eq!(state.config_doubt(at(200)), Some(ConfigDoubt::Starting));
    state.handle(
        ControlEvent::Rows { rows: Vec::new(), version: 7, confirmed_at: at(250) },
        at(300),
    );
    assert_eq!(state.config_doubt(at(300)), None, "no other node has a row");
}
