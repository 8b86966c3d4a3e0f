//! Checks how often a node queries its peers for a config that they have announced.

use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_wire::NodeStatus;

use crate::{
    fixtures::{address, config, config_event, settings},
    simulation::at,
};

/// Peers that announce a newer config, each once per second.
const PEERS: usize = 60;

/// The bound of the platform within which a config has to be in force.
const CONFIG_APPLY_MS: u64 = 2_000;

fn announcement(index: usize) -> ControlEvent {
    ControlEvent::peer_status(NodeStatus {
        node: format!("vm-{}", address(index)),
        address: format!("10.0.0.{}:7000", index + 1),
        data_centre: "east".to_owned(),
        config_version: 13,
        reaches_store: true,
        ..Default::default()
    })
}

fn query_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|it| matches!(it, Effect::QueryPeer { .. })).count()
}

/// Announces a newer config by all peers and returns the number of queries in each second.
fn queries_per_second(state: &mut ControlState, seconds: u64) -> Vec<usize> {
    let step_ms = 1_000 / PEERS as u64;
    let announce_all = |second: u64, state: &mut ControlState| {
        let counts = (0..PEERS).map(|index| {
            let now = at(1_000 * (second + 10) + step_ms * index as u64);
            query_count(&state.handle(announcement(index + 1), now))
        });
        counts.sum()
    };
    (0..seconds).map(|second| announce_all(second, state)).collect()
}

fn node_with_config() -> ControlState {
    let mut state = ControlState::new(settings(0), at(0));
    state.handle(config_event(config()), at(100));
    state
}

/// Guards against a link that is filled by answers to many queries, so that none arrives in time.
#[test]
fn a_node_cut_off_from_the_store_sends_one_query_at_a_time() {
    let mut state = node_with_config();
    state.handle(ControlEvent::StoreReached(false), at(9_000));
    let queries = queries_per_second(&mut state, 6);
    assert!(queries.iter().all(|it| *it <= 1), "{queries:?}");
    assert!(queries[0] == 1, "the first announcement is followed at once");
    assert!(queries.iter().sum::<usize>() >= 3, "a lost query is repeated: {queries:?}");
    let effects = state.handle(ControlEvent::PeerQueryFailed, at(17_000));
    assert_eq!(query_count(&effects), 0);
    assert_eq!(query_count(&state.handle(announcement(7), at(17_010))), 1, "the next one follows");
}

/// Guards against transfers of a config that the store is about to deliver.
#[test]
fn a_node_that_reaches_the_store_queries_a_peer_only_for_an_overdue_config() {
    let mut state = node_with_config();
    state.handle(ControlEvent::StoreReached(true), at(9_900));
    assert_eq!(query_count(&state.handle(announcement(1), at(10_000))), 0);
    assert_eq!(query_count(&state.handle(announcement(2), at(10_300))), 0);
    let overdue = state.handle(announcement(3), at(10_000 + CONFIG_APPLY_MS / 2));
    assert_eq!(query_count(&overdue), 1);
}
