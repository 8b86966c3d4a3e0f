//! Checks when a node doubts that its config is the newest one.

use galenastream_adapter::ConfigVersion;
use galenastream_node::{
    ConfigDoubt, ControlEvent, ControlState, PublishedDoubt, StoredConfig, StoredConfigContent,
};
use galenastream_standin::DeploymentPlan;
use galenastream_utils::BootInstant;
use galenastream_wire::{NodeStatus, StatusSeen, SyncState};

use crate::{
    fixtures::{address, config, settings},
    healthy_store::HealthyStore,
    simulation::at,
};

/// Age from which a confirmation of the config no longer counts.
const MAX_AGE_MS: u64 = 7_000;

/// An instant at which the node has long heard of its peers.
const SETTLED_MS: u64 = 20_000;

fn status(index: usize, config_version: u64, reaches_store: bool) -> ControlEvent {
    ControlEvent::peer_status(NodeStatus {
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
    ControlEvent::peer_status(NodeStatus { confirms_config: Some(confirms_config), ..*status })
}

/// A status of a node that states in its acknowledgements how old its confirmation of the config is.
fn aging_status(index: usize, config_version: u64) -> ControlEvent {
    let ControlEvent::PeerStatus(status) = reading_status(index, config_version, true) else {
        unreachable!("a status");
    };
    ControlEvent::peer_status(NodeStatus { states_config_age: true, ..*status })
}

/// An acknowledgement of a status that was sent at an instant.
fn acknowledgement(index: usize, version: u64, age_ms: Option<u64>, asked_ms: u64) -> ControlEvent {
    ControlEvent::StatusAcknowledged {
        node: format!("vm-{}", address(index)).into(),
        seen: StatusSeen {
            config_version: version,
            config_age_ms: age_ms,
            ..StatusSeen::default()
        },
        asked_at: at(asked_ms),
    }
}

/// An answer of the store that shows another config.
fn stored(row_version: u64, content: StoredConfigContent) -> ControlEvent {
    let stored = Some(StoredConfig { row_version, content });
    ControlEvent::ConfigRead { stored, confirmed_at: None }
}

/// An answer of the store that shows a config that cannot be decoded.
fn unreadable(version: Option<u64>, now_ms: u64) -> ControlEvent {
    stored(now_ms, StoredConfigContent::Unreadable { version, reason: "test".to_owned() })
}

/// An answer of the store without a change, which confirms what it has shown before.
fn unchanged(confirmed_ms: u64) -> ControlEvent {
    ControlEvent::ConfigRead { stored: None, confirmed_at: Some(at(confirmed_ms)) }
}

fn put_config(state: &mut ControlState, version: u64, now_ms: u64) {
    let config = Box::new(galenastream_adapter::RoutingConfig {
        version: ConfigVersion(version),
        ..config()
    });
    let content = StoredConfigContent::Valid { config, encoded: Default::default() };
    state.handle(stored(now_ms, content), at(now_ms));
}

/// Puts a config in force that a peer has sent.
fn put_config_of_peer(state: &mut ControlState, version: u32, now_ms: u64) {
    let config = DeploymentPlan::shop_config(version, "/stock/").to_string().into();
    let sync_state = SyncState { config, confirmed_age_ms: u64::MAX, ..Default::default() };
    let event = ControlEvent::PeerSyncState { state: sync_state, asked_at: at(now_ms) };
    state.handle(event, at(now_ms));
}

/// A node with config 1 that reaches the store.
fn settled_node() -> ControlState {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(SETTLED_MS));
    state.handle(unchanged(SETTLED_MS), at(SETTLED_MS));
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
        state.handle(unreadable(version, now_ms), at(now_ms));
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
    state.handle(unreadable(None, SETTLED_MS + 10), at(SETTLED_MS + 10));
    state.handle(status(1, 1, true), at(SETTLED_MS + 20));
    assert_eq!(state.config_doubt(at(SETTLED_MS + 20)), Some(ConfigDoubt::NewerUnreadable));
}

/// Guards against 404 of a node that is cut off from the store while operators change the config.
#[test]
fn a_config_is_doubted_without_the_store_unless_a_peer_that_reaches_it_has_the_same_one() {
    let mut state = settled_node();
    state.handle(ControlEvent::StoreReached(false), at(SETTLED_MS + 10));
    state.handle(ControlEvent::ConfigReadFailed, at(SETTLED_MS + 10));
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
    state.handle(unchanged(SETTLED_MS + 6_000), later);
    assert_eq!(state.config_doubt(later), None);
}

/// Guards against 404 of a node that reads the shared rows but not the config.
#[test]
fn a_config_is_doubted_while_its_table_is_not_read_although_the_store_is_reached() {
    let mut state = settled_node();
    state.handle(ControlEvent::ConfigReadFailed, at(SETTLED_MS + 10));
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
    state.handle(unchanged(SETTLED_MS + 20), now);
    assert_eq!(state.config_doubt(now), None);
    assert_eq!(state.status(now).confirms_config, Some(true));
}

/// Guards against 404 of a node that starts while the table of the config is not read.
#[test]
fn a_store_that_is_reached_does_not_confirm_a_config_that_was_never_read() {
    let mut state = ControlState::new(settings(0), at(0));
    put_config_of_peer(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(SETTLED_MS));
    assert_eq!(state.config_doubt(at(SETTLED_MS)), Some(ConfigDoubt::StoreUnreachable));
}

/// Guards against nodes that confirm a config for others while the store has a newer one.
#[test]
fn a_node_that_cannot_decode_the_newest_config_confirms_none() {
    let mut state = settled_node();
    state.handle(unreadable(None, SETTLED_MS + 10), at(SETTLED_MS + 10));
    assert_eq!(state.status(at(SETTLED_MS + 10)).confirms_config, Some(false));
}

/// Guards against a confirmation that counts for an older config than the store held then.
#[test]
fn a_confirmation_does_not_count_for_a_config_older_than_the_one_that_it_names() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 1_000;
    state.handle(unreadable(Some(3), now_ms), at(now_ms));
    state.handle(unchanged(now_ms), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), Some(ConfigDoubt::NewerUnreadable));
    assert_eq!(state.sync_snapshot().status_seen(at(now_ms)), StatusSeen::default());
    put_config_of_peer(&mut state, 2, now_ms + 10);
    let later = at(now_ms + 10);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::NewerUnreadable));
    put_config_of_peer(&mut state, 3, now_ms + 20);
    assert_eq!(state.config_doubt(at(now_ms + 20)), None);
}

/// Guards against an old read that hides a newer config which could not be decoded.
#[test]
fn a_read_that_is_older_than_what_the_store_has_shown_ends_no_doubt() {
    let mut state = settled_node();
    state.handle(unreadable(None, SETTLED_MS + 10), at(SETTLED_MS + 10));
    let old = StoredConfigContent::Unreadable { version: Some(1), reason: "test".to_owned() };
    state.handle(stored(SETTLED_MS, old), at(SETTLED_MS + 20));
    let now = at(SETTLED_MS + 20);
    assert_eq!(state.config_doubt(now), Some(ConfigDoubt::NewerUnreadable));
}

/// Guards against 404 out of a config that operators have removed, and against confirming it.
#[test]
fn a_config_whose_row_was_removed_is_doubted_until_there_is_one_again() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 10;
    state.handle(stored(now_ms, StoredConfigContent::Missing), at(now_ms));
    state.handle(unchanged(now_ms), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), Some(ConfigDoubt::Removed));
    assert_eq!(state.status(at(now_ms)).confirms_config, Some(false));
    put_config(&mut state, 2, now_ms + 10);
    state.handle(unchanged(now_ms + 10), at(now_ms + 10));
    assert_eq!(state.config_doubt(at(now_ms + 10)), None);
}

/// Guards against 404 of a node that starts on an old copy of the config.
#[test]
fn a_config_is_doubted_until_the_peers_were_heard_from_after_the_start() {
    let mut state = ControlState::new(settings(0), at(0));
    put_config(&mut state, 1, 100);
    state.handle(ControlEvent::StoreReached(true), at(100));
    state.handle(unchanged(100), at(100));
    assert_eq!(state.config_doubt(at(200)), Some(ConfigDoubt::Starting));
    state.handle(
        ControlEvent::Rows { rows: Vec::new(), version: 7, confirmed_at: Some(at(250)) },
        at(300),
    );
    assert_eq!(state.config_doubt(at(300)), None, "no other node has a row");
}

/// Guards against 404 while the store keeps its connections open and answers nothing.
#[test]
fn a_config_is_doubted_when_no_call_about_it_was_answered_for_a_while() {
    let state = settled_node();
    let last = at(SETTLED_MS + MAX_AGE_MS - 1);
    assert_eq!(state.config_doubt(last), None);
    let later = at(SETTLED_MS + MAX_AGE_MS);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
}

/// Guards against 404 on an answer of the store that was held up on its way.
#[test]
fn a_watch_confirms_the_config_from_when_it_was_sent() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 12_000;
    state.handle(unchanged(now_ms - MAX_AGE_MS), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), Some(ConfigDoubt::StoreUnreachable));
    state.handle(unchanged(now_ms - 2_000), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), None);
    let later = at(now_ms - 2_000 + MAX_AGE_MS);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
}

/// Guards against 404 on the word of a peer that was held up on its way.
#[test]
fn a_held_up_status_does_not_confirm_the_config() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 30_000;
    let doubt = Some(ConfigDoubt::StoreUnreachable);
    state.handle(aging_status(1, 1), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), doubt, "a status proves nothing");
    state.handle(acknowledgement(1, 1, None, now_ms), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), doubt, "the peer knows nothing");
    state.handle(acknowledgement(1, 1, Some(0), now_ms - MAX_AGE_MS), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), doubt, "the acknowledgement was held up");
    state.handle(acknowledgement(1, 1, Some(MAX_AGE_MS - 10), now_ms - 10), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), doubt, "the peer knew it long ago");
    state.handle(acknowledgement(1, 1, Some(3_000), now_ms - 10), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), None);
    // An acknowledgement that overtook another one is not replaced by it.
    state.handle(acknowledgement(1, 1, Some(u64::MAX), now_ms - 500), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), None);
    let later_ms = now_ms - 10 - 3_000 + MAX_AGE_MS;
    state.handle(aging_status(1, 1), at(later_ms));
    assert_eq!(state.config_doubt(at(later_ms)), doubt, "the confirmation was not renewed");
}

/// Guards against doubt after each change of the config, of which the peers hear at other instants.
#[test]
fn a_peer_with_an_older_config_confirms_that_none_newer_existed() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 30_000;
    state.handle(aging_status(1, 1), at(now_ms));
    state.handle(acknowledgement(1, 1, Some(2_000), now_ms), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), None);
    put_config(&mut state, 3, now_ms + 10);
    assert_eq!(state.config_doubt(at(now_ms + 10)), None);
    state.handle(acknowledgement(1, 2, Some(0), now_ms + 4_000), at(now_ms + 4_000));
    state.handle(aging_status(1, 2), at(now_ms + 6_000));
    assert_eq!(state.config_doubt(at(now_ms + 6_000)), None);
}

/// Guards against 404 out of a config that is older than the one that the peer confirms.
#[test]
fn a_peer_with_a_newer_config_does_not_confirm_this_one() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 30_000;
    state.handle(aging_status(1, 1), at(now_ms));
    state.handle(acknowledgement(1, 2, Some(0), now_ms), at(now_ms));
    assert_eq!(state.config_doubt(at(now_ms)), Some(ConfigDoubt::StoreUnreachable));
}

/// Guards against 404 on confirmations that are older than the news of a newer config, of which the
/// announcer has gone.
#[test]
fn a_confirmation_from_before_the_announcement_of_a_newer_config_does_not_count() {
    let mut state = settled_node();
    let now_ms = SETTLED_MS + 3_000;
    state.handle(aging_status(1, 1), at(now_ms));
    state.handle(acknowledgement(1, 1, Some(0), now_ms), at(now_ms));
    state.handle(aging_status(2, 2), at(now_ms + 10));
    assert_eq!(state.config_doubt(at(now_ms + 10)), Some(ConfigDoubt::NewerAnnounced));
    let later = at(now_ms + 3_000);
    assert_eq!(state.config_doubt(later), Some(ConfigDoubt::StoreUnreachable));
    put_config(&mut state, 2, now_ms + 3_000);
    assert_eq!(state.config_doubt(later), None, "none newer was announced");
    state.handle(acknowledgement(1, 3, Some(0), now_ms + 3_010), at(now_ms + 3_020));
    let later_ms = now_ms + 3_020;
    assert_eq!(state.config_doubt(at(later_ms)), Some(ConfigDoubt::StoreUnreachable));
    // The store says later that it has none.
    state.handle(unchanged(later_ms + 10), at(later_ms + 2_000));
    assert_eq!(state.config_doubt(at(later_ms + 2_000)), None);
}

/// Guards against a reader that goes on confirming the config for others while it is cut off from
/// the store.
#[test]
fn a_reader_that_is_cut_off_from_the_store_stops_confirming_the_config() {
    let mut reader = settled_node();
    let mut other = ControlState::new(settings(1), at(0));
    put_config(&mut other, 1, 100);
    let doubt_of_other = |reader: &mut ControlState, other: &mut ControlState, now_ms| {
        other.handle(ControlEvent::peer_status(reader.status(at(now_ms))), at(now_ms));
        let seen = reader.sync_snapshot().status_seen(at(now_ms));
        let node = format!("vm-{}", address(0)).into();
        let event = ControlEvent::StatusAcknowledged { node, seen, asked_at: at(now_ms) };
        other.handle(event, at(now_ms));
        other.config_doubt(at(now_ms))
    };
    let doubt = Some(ConfigDoubt::StoreUnreachable);
    // No call fails, and none is answered.
    for age_ms in (0..MAX_AGE_MS + 5_000).step_by(250) {
        let expected = if age_ms < MAX_AGE_MS { None } else { doubt };
        let now_ms = SETTLED_MS + age_ms;
        assert_eq!(doubt_of_other(&mut reader, &mut other, now_ms), expected, "{age_ms} ms");
    }
    let now_ms = SETTLED_MS + 20_000;
    reader.handle(unchanged(now_ms), at(now_ms));
    assert_eq!(doubt_of_other(&mut reader, &mut other, now_ms), None);
    // A call fails.
    reader.handle(ControlEvent::ConfigReadFailed, at(now_ms + 10));
    assert_eq!(doubt_of_other(&mut reader, &mut other, now_ms + 20), doubt);
}

/// Guards against evidence that becomes younger by rounding.
#[test]
fn the_stated_age_of_a_confirmation_is_rounded_up() {
    let mut state = settled_node();
    let now = BootInstant::new(at(SETTLED_MS).as_ns() + 1);
    let seen = state.sync_snapshot().status_seen(now);
    let confirmation =
        StatusSeen { config_version: 1, config_age_ms: Some(1), target_leaving_for_ms: None };
    assert_eq!(seen, confirmation);
}

const NODES: usize = 6;
const READERS: usize = 2;

/// Guards against requests that are asked to come back although the store answers.
#[test]
fn a_config_is_not_doubted_while_the_store_is_healthy() {
    for seed in 0..20 {
        let mut store = HealthyStore::new(seed, NODES);
        store.run_for(600_000);
        assert_eq!(store.doubts, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against doubt while a reader restarts and another node takes its place.
#[test]
fn a_config_is_not_doubted_while_readers_restart() {
    for seed in 0..20 {
        let mut store = HealthyStore::new(seed, NODES);
        store.run_for(10_000);
        for round in 0..30 {
            store.restart(round % 3, round % 2 == 0);
            store.run_for(12_000);
        }
        assert_eq!(store.doubts, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against calls that each node pays for although two readers suffice.
#[test]
fn only_readers_watch_the_config_often() {
    const OBSERVED_MS: usize = 120_000;
    let mut store = HealthyStore::new(3, NODES);
    store.run_for(20_000);
    store.calls = 0;
    store.run_for(OBSERVED_MS as u64);
    let of_readers = READERS * OBSERVED_MS.div_ceil(2_000);
    let of_others = (NODES - READERS) * OBSERVED_MS.div_ceil(12_000);
    let expected = of_readers + of_others;
    assert!(store.calls <= expected, "{} calls, {expected} expected", store.calls);
}

/// Guards against 404 of a process that was suspended, before its control thread has run again.
#[test]
fn a_judgement_that_the_control_thread_has_not_renewed_does_not_confirm_the_config() {
    let published = PublishedDoubt { doubt: None, judged_at: at(SETTLED_MS) };
    assert_eq!(published.at(at(SETTLED_MS + 1_000)), None);
    assert_eq!(published.at(at(SETTLED_MS + 1_001)), Some(ConfigDoubt::StoreUnreachable));
    let published = PublishedDoubt { doubt: Some(ConfigDoubt::Starting), ..published };
    assert_eq!(published.at(at(SETTLED_MS + 1_001)), Some(ConfigDoubt::Starting));
}
