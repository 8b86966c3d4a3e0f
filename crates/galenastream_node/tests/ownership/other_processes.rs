//! Checks that keys move only on evidence that holds for other processes, settings and rows too.

use galenastream_adapter::{HeartbeatReply, Row};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_ranges::{Assignment, LeaseTerms, Owner, TargetIncarnation};
use galenastream_wire::{IncarnationRecord, NodeStatus, OwnershipFacts, SyncQuery};

use crate::{
    fixtures::{HEARTBEAT_MS, config, config_event, settings, settings_with_bound},
    injected_bug::InjectedBug,
    simulation::{STEP_MS, Simulation, at},
    single_node::{
        ALL_KEYS, EARLIER_LEASES_MS, Reply, START_MS, Sender, TARGET, ended, node_with_leases,
        owned_by, row, send, started_node,
    },
    store::{Write, WriteContent},
};

/// Whether a reply to a heartbeat grants keys.
fn grants_keys(mut reply: Reply) -> bool {
    match reply.try_recv() {
        Ok(HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, .. })) => !grants.is_empty(),
        _ => false,
    }
}

/// The assignment that a commit among some effects writes, with the version that it expects.
fn commit_of(effects: &[Effect]) -> Option<(Assignment, u64)> {
    effects.iter().find_map(|it| match it {
        Effect::Commit { assignment, expected_version, .. } => {
            Some((Assignment::clone(assignment), *expected_version))
        }
        _ => None,
    })
}

fn configured(state: ControlState, now_ms: u64) -> ControlState {
    let mut state = state;
    let config = config_event(config());
    state.handle(config, at(now_ms));
    state
}

/// Guards against keys that are free at once by a late write, in which a process has stated the end
/// of its target, while the next process grants leases on the version that the write expects.
#[test]
fn a_late_write_of_an_earlier_process_does_not_free_keys_that_the_next_one_grants() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let mut stated_ms = now_ms + 1_000;
    let mut effects = state.handle(ControlEvent::StoreReached(true), at(stated_ms));
    let owns_keys = |it: &Assignment| it.owned_by(&TARGET.incarnation()).next().is_some();
    let (written, expected_version) = loop {
        if let Some(commit) = commit_of(&effects).filter(|(it, _)| !owns_keys(it)) {
            break commit;
        }
        state.handle_dropped_commit("carts");
        stated_ms += 100;
        assert!(stated_ms < now_ms + 10_000, "the silent target is never stated to have ended");
        effects = state.tick(at(stated_ms));
    };
    drop(state);
    // The write is in transit. The next process reads the row that it expects.
    let started_ms = stated_ms + 500;
    let assignment = owned_by(&TARGET.owner());
    let mut next = configured(ControlState::new(settings(0), at(started_ms)), started_ms + 10);
    next.handle(row(&assignment, expected_version, started_ms + 20), at(started_ms + 30));
    let reply = send(&mut next, TARGET, 13, &[], started_ms + 100);
    next.tick(at(started_ms + 900));
    let is_granted = grants_keys(reply);
    let is_freed = written.held_by(&TARGET.incarnation()).next().is_none();
    assert!(
        !(is_granted && is_freed),
        "version {expected_version}: the write in transit frees keys that are granted"
    );
}

/// Guards against an end of leases by the settings of this process, which is applied to a row that
/// states longer ones.
#[test]
fn an_end_by_the_settings_does_not_count_for_a_row_with_longer_leases() {
    let state = ControlState::new(settings_with_bound(0, 1_000), at(START_MS));
    let mut state = configured(state, START_MS + 10);
    send(&mut state, TARGET, 7, ALL_KEYS, START_MS + 100);
    // A delayed heartbeat of an earlier target, before the first row is read.
    send(&mut state, Sender { id: "earlier", born_ms: None }, 70, &[], START_MS + 2_600);
    let mut assignment = owned_by(&TARGET.owner());
    let seconds = std::time::Duration::from_secs;
    assignment.raise_terms(LeaseTerms::new(seconds(12), seconds(6)));
    state.handle(row(&assignment, 3, START_MS + 2_620), at(START_MS + 2_630));
    state.handle(ControlEvent::StoreReached(false), at(START_MS + 2_640));
    for now_ms in (START_MS + 2_650..START_MS + EARLIER_LEASES_MS).step_by(100) {
        state.tick(at(now_ms));
        assert_eq!(ended(&state, now_ms), Vec::<String>::new(), "{} ms", now_ms - START_MS);
    }
}

/// Guards against a wait by the limits that are first stated together with a departure, while a
/// node grants on the row before by its longer settings.
#[test]
fn limits_that_are_stated_with_a_departure_do_not_bound_leases_on_the_row_before() {
    let assignment = owned_by(&TARGET.owner());
    let owner_node = ControlState::new(settings_with_bound(0, 20_000), at(START_MS));
    let mut owner_node = configured(owner_node, START_MS + 10);
    let written_ms = START_MS + 10_000;
    for sequence in 1..=11 {
        let now_ms = START_MS + 100 + (sequence - 1) * HEARTBEAT_MS;
        owner_node.handle(row(&assignment, 3, now_ms - 10), at(now_ms - 5));
        send(&mut owner_node, TARGET, sequence, ALL_KEYS, now_ms);
    }
    owner_node.handle(row(&assignment, 3, written_ms - 10), at(written_ms));
    owner_node.handle(ControlEvent::StoreReached(false), at(written_ms + 10));

    let planner = ControlState::new(settings(1), at(START_MS));
    let mut planner = configured(planner, START_MS + 10);
    planner.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    // The owner's node is never heard.
    for now_ms in (START_MS + 100..written_ms - 100).step_by(100) {
        planner.tick(at(now_ms));
    }
    let mut effects = planner.handle(row(&assignment, 3, written_ms - 100), at(written_ms - 90));
    let (departed, _) = commit_of(&effects).expect("the lost owner's keys depart");
    assert!(departed.leaving(&TARGET.incarnation()).next().is_some());
    assert!(departed.terms().is_some(), "the limits are stated in the same write");
    let result = Ok(4);
    let assignment = Box::new(departed);
    let committed = ControlEvent::Committed { service: "carts".to_owned(), assignment, result };
    effects.extend(planner.handle(committed, at(written_ms)));
    let mut freed_ms = written_ms;
    loop {
        freed_ms += 100;
        let effects = planner.tick(at(freed_ms));
        if commit_of(&effects).is_some_and(|(it, _)| it.holders().is_empty()) {
            break;
        }
        assert!(freed_ms < written_ms + 60_000, "the keys are never vacant");
    }
    let mut is_granted_after = false;
    for step in 1..20 {
        let now_ms = written_ms + 100 + step * HEARTBEAT_MS;
        let reply = send(&mut owner_node, TARGET, 11 + step, ALL_KEYS, now_ms);
        owner_node.tick(at(now_ms + 800));
        is_granted_after |= now_ms > freed_ms && grants_keys(reply);
    }
    let after_ms = freed_ms - written_ms;
    assert!(!is_granted_after, "granted by the row before, {after_ms} ms after the departure");
}

/// Guards against leases on an assignment that was removed from the store, on a node that gets its
/// rows from a peer.
#[test]
fn a_removed_assignment_ends_leases_on_nodes_that_query_peers() {
    let assignment = owned_by(&TARGET.owner());
    let reader = ControlState::new(settings(1), at(START_MS));
    let mut reader = configured(reader, START_MS + 10);
    reader.handle(row(&assignment, 3, START_MS + 20), at(START_MS + 30));
    let removed = Row { key: "keys/carts".to_owned(), value: None, version: 4 };
    let confirmed_at = Some(at(START_MS + 7_000));
    let removal = ControlEvent::Rows { rows: vec![removed], version: 4, confirmed_at };
    reader.handle(removal, at(START_MS + 7_010));

    let mut state = started_node(&assignment);
    for sequence in 1..=7 {
        let now_ms = START_MS + 100 + sequence * HEARTBEAT_MS;
        send(&mut state, TARGET, sequence, &[], now_ms);
        state.tick(at(now_ms + 800));
    }
    let query = SyncQuery { rows_version: 3, ..SyncQuery::default() };
    let answer = reader.sync_snapshot().state_for(&query, at(START_MS + 7_050));
    let asked_at = at(START_MS + 7_040);
    state.handle(ControlEvent::PeerSyncState { state: answer, asked_at }, at(START_MS + 7_060));
    let reply = send(&mut state, TARGET, 8, &[], START_MS + 7_300);
    state.tick(at(START_MS + 8_100));
    assert!(!grants_keys(reply), "granted on a removed assignment, confirmed by the reader");
}

/// The same, played with all nodes. The store is away while the heartbeats of a target stop for longer
/// than its leases. Its node reaches the store first and states that it has ended. The node ends, and
/// its write takes effect after the next process has heard the target.
#[test]
fn a_late_write_of_an_earlier_process_gives_no_key_to_a_second_target() {
    let mut late_writes = 0;
    let mut violations = Vec::new();
    for (seed, owner) in (0..8).flat_map(|seed| (0..3).map(move |owner| (seed, owner))) {
        let mut simulation = Simulation::new(seed, 3, InjectedBug::None);
        simulation.run_for(8_000, false);
        let silent_since_ms = simulation.now_ms;
        for (index, vm) in simulation.vms.iter_mut().enumerate() {
            let away_ms = if index == owner { 6_500 } else { 11_000 };
            vm.store_refuses_until_ms = silent_since_ms + away_ms;
        }
        let target = &mut simulation.vms[owner].target;
        target.sent_at_ms = None;
        target.next_heartbeat_ms = silent_since_ms + 20_000;
        let id = target.id.clone();
        let frees_keys = |it: &Write| match &it.content {
            WriteContent::Assignment(it) => it.holders().iter().all(|it| *it.target.id != *id),
            WriteContent::Settlement(_) => false,
        };
        while simulation.now_ms < silent_since_ms + 7_500
            && !simulation.writes.iter().any(|it| it.vm == owner && frees_keys(it))
        {
            simulation.run_for(STEP_MS, false);
        }
        let now_ms = simulation.now_ms;
        let write = simulation.writes.iter_mut().find(|it| it.vm == owner && frees_keys(it));
        let Some(write) = write else {
            continue;
        };
        late_writes += 1;
        write.at_ms = now_ms + 3_600;
        write.is_answered = false;
        simulation.vms[owner].stop(now_ms + 300);
        simulation.vms[owner].target.next_heartbeat_ms = now_ms + 400;
        simulation.run_for(10_000, false);
        let first = simulation.violations.first();
        violations.extend(first.map(|it| format!("seed {seed}, node {owner}: {it}")));
    }
    assert_eq!(violations, Vec::<String>::new(), "{late_writes} late writes");
    assert!(late_writes > 0, "no node states the end of its target");
}

/// Guards against keys that are free by one write because a status states the end of their owner's
/// leases twice: once as nodes of earlier versions do.
#[test]
fn an_end_that_is_stated_twice_does_not_free_keys_by_one_write() {
    let owner = settings(1);
    let mut planner = configured(ControlState::new(settings(0), at(START_MS)), START_MS);
    planner.handle(ControlEvent::StoreReached(true), at(START_MS));
    let target = TargetIncarnation::new("u", 0);
    let mut assignment = owned_by(&Owner::new(target, owner.node_name.as_str()));
    let seconds = std::time::Duration::from_secs;
    assignment.raise_terms(LeaseTerms::new(seconds(12), seconds(6)));
    planner.handle(row(&assignment, 3, START_MS), at(START_MS));
    let record = || vec![IncarnationRecord { id: "u".to_owned(), born_ms: 0 }];
    let facts =
        OwnershipFacts { ended: record(), expired: record(), ..OwnershipFacts::new("carts", 3) };
    let now_ms = START_MS + 3_000;
    let status = NodeStatus {
        node: owner.node_name,
        address: owner.listeners.peers.to_string(),
        data_centre: owner.data_centre,
        facts: vec![facts],
        ..NodeStatus::default()
    };
    let effects = planner.handle(ControlEvent::peer_status(status), at(now_ms));
    let (written, _) = commit_of(&effects).expect("the planner acts on the facts");
    assert!(!written.holders().is_empty(), "no version has the keys as leaving: {written:?}");
}
