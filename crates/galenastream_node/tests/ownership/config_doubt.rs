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

/// A status of a node that says whether it reads the table of the config.
fn reading_status(index: usize, config_version: u64, confirms_config: bool) -> ControlEvent {
    let ControlEvent::PeerStatus(status) = status(index, config_version, true) else {
        unreachable!("a status");
    };
    ControlEvent::PeerStatus(NodeStatus { confirms_config: Some(confirms_config), ..status })
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
    state.handle(ControlEvent::ConfigRead(true), at(SETTLED_MS));
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
    state.handle(ControlEvent::ConfigRead(false), at(SETTLED_MS + 10));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 10)), Some(ConfigDoubt::StoreUnreachable));
    state.handle(status(1, 1, false), at(SETTLED_MS + 20));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 20)), Some(ConfigDoubt::StoreUnreachable));
    state.handle(status(2, 1, true), at(SETTLED_MS + 30));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 30)), None);
    // The confirmation lasts as long as the peer is heard from.
    let later = at(SETTLED_MS + 6_000);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
    state.handle(ControlEvent::StoreReached(true), later);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
    state.handle(ControlEvent::ConfigRead(true), later);
    assert_eq!(state.config_doubt(later), None);
}

/// Guards against 404 of a node that reads the shared rows but not the config.
#[test]
fn a_config_is_doubted_while_its_table_is_not_read_although_the_store_is_reached() {
    let mut state = settled_node();
    state.handle(ControlEvent::ConfigRead(false), at(SETTLED_MS + 10));
    state.handle(ControlEvent::StoreReached(true), at(SETTLED_MS + 20));
    let now = at(SETTLED_MS + 20);
    assert_eq!(state.config_doubt(now), Some(ConfigDoubt::StoreUnreachable));
    assert_eq!(state.status(now).confirms_config, Some(false));
    // A peer confirms the config only if it reads the table of the config itself.
    state.handle(reading_status(1, 1, false), now);
    assert_eq!(state.config_doubt(now), Some(ConfigDoubt::StoreUnreachable));
    state.handle(reading_status(2, 1, true), now);
    assert_eq!(state.config_doubt(now), None);
    state.handle(reading_status(2, 1, false), now);
    assert_eq!(state.config_doubt(now), Some(ConfigDoubt::StoreUnreachable));
    state.handle(ControlEvent::ConfigRead(true), now);
    assert_eq!(state.config_doubt(now), None);
    assert_eq!(state.status(now).confirms_config, Some(true));
}

/// Guards against 404 of a node that starts while the table of the config is not read.
#[test]
fn a_store_that_is_reached_does_not_confirm_a_config_that_was_never_read() {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(SETTLED_MS));
    assert_eq!(state.config_doubt(at(SETTLED_MS)), Some(ConfigDoubt::StoreUnreachable));
}

/// Guards against nodes that confirm a config for others while the store has a newer one.
#[test]
fn a_node_that_cannot_decode_the_newest_config_confirms_none() {
    let mut state = settled_node();
    state.handle(ControlEvent::ConfigUnreadable { version: None }, at(SETTLED_MS + 10));
    assert_eq!(state.status(at(SETTLED_MS + 10)).confirms_config, Some(false));
}

/// Guards against 404 of a node that starts on an old copy of the config.
#[test]
fn a_config_is_doubted_until_the_peers_were_heard_from_after_the_start() {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(100));
    state.handle(ControlEvent::ConfigRead(true), at(100));
    assert_eq!(state.config_doubt(at(200)), Some(ConfigDoubt::Starting));
    state.handle(
        ControlEvent::Rows { rows: Vec::new(), version: 7, confirmed_at: Some(at(250)) },
        at(300),
    );
    assert_eq!(state.config_doubt(at(300)), None, "no other node has a row");
}
