//! Fuzz tests of the control state: heartbeats, statuses, sync states and rows with hostile values.
//! It never panics, and what it writes, answers and publishes keeps its invariants.

use std::sync::LazyLock;

use bytes::Bytes;
use galenastream_adapter::{HeartbeatReply, MalformedRow, RoutingConfig, Row, StoreError};
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, RouteMatch, StoredConfig,
    StoredConfigContent,
};
use galenastream_ranges::Assignment;
use galenastream_standin::{Corpus, fuzz_config};
use galenastream_wire::{
    CrashEntry, EraRow, EvacuationRecord, IncarnationRecord, KeyLoadRecord, NodeStatus,
    OwnershipFacts, QuarantineRow, ReleaseRecord, SharedRow, StatusSeen, SuspectRecord, SyncState,
    TargetStatus,
};
use proptest::{collection::vec, option, prelude::*};
use prost::Message;
use tokio::sync::oneshot;

use super::{
    fixtures::{config, config_event, settings},
    simulation::at,
};

static HEARTBEATS: LazyLock<Corpus> = LazyLock::new(|| corpus("../../platform", "heartbeat"));
static CONFIGS: LazyLock<Corpus> = LazyLock::new(|| corpus("../../platform", "config"));
static ASSIGNMENTS: LazyLock<Corpus> =
    LazyLock::new(|| corpus("../galenastream_ranges", "assignment"));
static TREES: LazyLock<Corpus> = LazyLock::new(|| corpus("../galenastream_settings", "tree"));
static NODE_ROWS: LazyLock<Corpus> = LazyLock::new(|| corpus("../galenastream_wire", "node_row"));
static ERA_ROWS: LazyLock<Corpus> = LazyLock::new(|| corpus("../galenastream_wire", "era_row"));

fn corpus(package: &str, decoder: &str) -> Corpus {
    let root = env!("CARGO_MANIFEST_DIR");
    Corpus::load(format!("{root}/{package}/tests/corpus/{decoder}"))
        .expect("the corpus is in the repository")
}

/// Numbers at the limits of types, and small ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        3 => 0_u64..4,
        1 => Just(u64::MAX),
        1 => Just(u64::MAX - 1),
        1 => Just(1 << 40),
        1 => any::<u64>(),
    ]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![3 => 0_u32..4, 1 => Just(65_535), 1 => Just(65_536), 1 => Just(u32::MAX)]
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => Just("carts".to_owned()),
        2 => Just("t-1".to_owned()),
        1 => Just(String::new()),
        1 => "[ -~]{0,6}",
    ]
}

fn node() -> impl Strategy<Value = String> {
    prop_oneof![4 => "vm-(10\\.0\\.0\\.[12]:80|1|2)", 1 => ".{0,4}"]
}

fn target() -> impl Strategy<Value = TargetStatus> {
    let loads = vec((small_number(), small_number(), number()), 0..4);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let numbers = (number(), small_number(), number(), option::of(number()));
    let cold = (option::of(number()), number());
    (name(), name(), numbers, flags, loads, cold).prop_map(
        |(
            service,
            id,
            (born_ms, slots, capacity, limit),
            (is_draining, is_silent, wants_trial, releases_late),
            loads,
            (cold_limit_milli_per_s, cold_remaining_ms),
        )| {
            let record = |(first, last, milli_per_s)| KeyLoadRecord { first, last, milli_per_s };
            TargetStatus {
                service,
                id,
                born_ms,
                slots,
                is_draining,
                is_silent,
                capacity_milli_per_s: capacity,
                key_loads: loads.into_iter().map(record).collect(),
                limit_milli_per_s: limit,
                wants_trial,
                releases_late,
                cold_limit_milli_per_s,
                cold_remaining_ms,
            }
        },
    )
}

fn facts() -> impl Strategy<Value = OwnershipFacts> {
    let releases = vec((small_number(), small_number(), name()), 0..3);
    let incarnations = || vec((name(), number()), 0..3);
    let ends = (incarnations(), incarnations(), incarnations());
    (name(), number(), releases, ends).prop_map(|(service, version, releases, ends)| {
        let release = |(first, last, handover)| ReleaseRecord { first, last, handover };
        let incarnation = |(id, born_ms)| IncarnationRecord { id, born_ms };
        OwnershipFacts {
            service,
            version,
            releases: releases.into_iter().map(release).collect(),
            ended: ends.0.into_iter().map(incarnation).collect(),
            gone: ends.1.into_iter().map(incarnation).collect(),
            expired: ends.2.into_iter().map(incarnation).collect(),
        }
    })
}

fn status() -> impl Strategy<Value = ControlEvent> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let numbers = (number(), number(), number());
    let address = prop_oneof![4 => Just("10.0.0.2:7000".to_owned()), 1 => ".{0,9}"];
    let lists = (vec(facts(), 0..3), vec(suspect(), 0..4), vec(evacuation(), 0..3));
    // Boxed, since a value tree of this size would not fit on the stack of a test.
    let target = option::of(target()).boxed();
    (node(), address, target, flags, numbers, lists.boxed()).prop_map(
        |(node, address, target, flags, numbers, (facts, suspects, evacuations))| {
            ControlEvent::peer_status(NodeStatus {
                node,
                started_boot_ns: numbers.0,
                data_centre: "east".to_owned(),
                address,
                target,
                config_version: numbers.1,
                is_closing: flags.0,
                is_refusing: flags.1,
                reaches_store: flags.2,
                confirms_config: flags.2.then_some(flags.3),
                states_config_age: flags.1,
                rows_version: numbers.2,
                reads_rows: flags.3,
                facts,
                suspects,
                quarantine_digest: numbers.0,
                crash_count: numbers.1,
                evacuations,
            })
        },
    )
}

fn evacuation() -> impl Strategy<Value = EvacuationRecord> {
    let data_centre = prop_oneof![Just("east".to_owned()), name()];
    (data_centre, number(), any::<bool>()).prop_map(|(data_centre, row_version, is_requested)| {
        EvacuationRecord { data_centre, row_version, is_requested }
    })
}

/// A record of few requests and crashes, so that records are joined, or one that names no request.
fn suspect() -> impl Strategy<Value = SuspectRecord> {
    let fingerprint = prop_oneof![
        4 => (0_u8..4).prop_map(|it| vec![it; 16]),
        1 => vec(any::<u8>(), 0..20),
    ];
    let crash = (0_u64..6, any::<bool>(), any::<bool>())
        .prop_map(|(id, was_suspected, is_cleared)| CrashEntry { id, was_suspected, is_cleared });
    (fingerprint, vec(crash, 0..30), ".{0,200}", any::<bool>()).prop_map(
        |(fingerprint, crashes, description, was_quarantined)| SuspectRecord {
            fingerprint: fingerprint.into(),
            crashes,
            description,
            was_quarantined,
        },
    )
}

/// A row with a key and a content that belong together, or nearly so.
fn row() -> impl Strategy<Value = (String, Bytes)> {
    let era = (0_u64..4).prop_map(|era| Bytes::from(EraRow { era }.encode_to_vec()));
    let era = prop_oneof![era, ERA_ROWS.mutated()];
    let quarantine = vec(suspect(), 0..4)
        .prop_map(|records| Bytes::from(QuarantineRow { records }.encode_to_vec()));
    prop_oneof![
        4 => ("keys/(carts)?", ASSIGNMENTS.mutated()),
        1 => ("settings/tree", TREES.mutated()),
        1 => (node().prop_map(|it| format!("node/{it}")), NODE_ROWS.mutated()),
        2 => ("era", era),
        1 => ("quarantine", quarantine),
        1 => (".{0,9}", ERA_ROWS.mutated()),
    ]
}

/// A version of the eras 0 to 3, or any.
fn version() -> impl Strategy<Value = u64> {
    prop_oneof![4 => (0_u64..4, 0_u64..9).prop_map(|(era, it)| era << 40 | it), 1 => number()]
}

fn rows() -> impl Strategy<Value = Vec<Row>> {
    let row = (row(), version(), any::<bool>());
    vec(row, 0..4).prop_map(|rows| {
        let row = |((key, value), version, is_removed): (_, _, bool)| Row {
            key,
            value: (!is_removed).then_some(value),
            version,
        };
        rows.into_iter().map(row).collect()
    })
}

fn sync_state() -> impl Strategy<Value = ControlEvent> {
    let config = prop_oneof![Just(Bytes::new()), CONFIGS.mutated()];
    let rows = vec((row(), version()), 0..4);
    (config, rows, version(), number(), 0_u64..9_000).prop_map(
        |(config, rows, rows_version, confirmed_age_ms, asked_at)| {
            let shared = |((key, value), version): ((String, Bytes), u64)| {
                let is_removed = value.is_empty();
                SharedRow { key, value, version, is_removed }
            };
            let rows = rows.into_iter().map(shared).collect();
            let state = SyncState { config, rows, rows_version, confirmed_age_ms };
            ControlEvent::PeerSyncState { state, asked_at: at(asked_at) }
        },
    )
}

fn heartbeat() -> impl Strategy<Value = ControlEvent> {
    // With the address beside the simulated node, so that more than the first check is reached.
    let body = HEARTBEATS.mutated().prop_map(|it| {
        let text = String::from_utf8_lossy(&it).replace("10.0.0.7:8001", "10.0.0.1:80");
        Bytes::from(text.into_bytes())
    });
    (name(), body, any::<bool>()).prop_map(|(target_id, body, is_heartbeat)| {
        let (answer, _) = oneshot::channel();
        match is_heartbeat {
            true => ControlEvent::Heartbeat { target_id, body, answer },
            false => ControlEvent::Deregister { target_id, answer },
        }
    })
}

fn malformed_row() -> impl Strategy<Value = MalformedRow> {
    let key = prop_oneof![Just("keys/carts".to_owned()), name()];
    (key, version()).prop_map(|(key, version)| MalformedRow { key, version })
}

fn config_read() -> impl Strategy<Value = ControlEvent> {
    let content = prop_oneof![
        4 => CONFIGS.mutated().prop_map(|encoded| match RoutingConfig::decode(&encoded) {
            Ok(config) => StoredConfigContent::Valid { config: Box::new(config), encoded },
            Err(_) => StoredConfigContent::Unreadable { version: None, reason: String::new() },
        }),
        1 => option::of(number())
            .prop_map(|version| StoredConfigContent::Unreadable { version, reason: String::new() }),
        1 => Just(()).prop_map(|()| StoredConfigContent::Missing),
    ];
    let stored = (version(), content)
        .prop_map(|(row_version, content)| StoredConfig { row_version, content });
    let stored = prop_oneof![2 => Just(()).prop_map(|()| None), 1 => stored.prop_map(Some)];
    (stored, option::of(0_u64..9_000)).prop_map(|(stored, confirmed_ms)| ControlEvent::ConfigRead {
        stored,
        confirmed_at: confirmed_ms.map(at),
    })
}

fn event() -> impl Strategy<Value = ControlEvent> {
    let read = (rows(), version(), 0_u64..9_000);
    let store = prop_oneof![
        4 => read.prop_map(|(rows, version, confirmed_at)| {
            ControlEvent::Rows { rows, version, confirmed_at: Some(at(confirmed_at)) }
        }),
        1 => (0_u64..1 << 24).prop_map(ControlEvent::StoreEra),
        1 => any::<bool>().prop_map(ControlEvent::StoreReached),
        1 => config_read(),
        1 => vec(malformed_row(), 0..4).prop_map(ControlEvent::RowsMalformed),
        1 => any::<()>().prop_map(|()| ControlEvent::ConfigReadFailed),
        2 => rows().prop_map(|rows| ControlEvent::Committed {
            service: "carts".to_owned(),
            assignment: Box::new(Assignment::new()),
            result: Err(StoreError::Conflict { rows }),
        }),
    ];
    let acknowledged = (node(), number(), option::of(number()), 0_u64..9_000).prop_map(
        |(node, config_version, config_age_ms, asked_at)| ControlEvent::StatusAcknowledged {
            node: node.into(),
            seen: StatusSeen { config_version, config_age_ms, target_leaving_for_ms: None },
            asked_at: at(asked_at),
        },
    );
    prop_oneof![
        3 => heartbeat(),
        3 => status(),
        1 => acknowledged,
        2 => sync_state(),
        4 => store,
    ]
}

fn check_assignment(assignment: &Assignment) -> Result<(), TestCaseError> {
    let decoded = Assignment::decode_row(&assignment.encode_row());
    prop_assert_eq!(decoded.as_ref(), Ok(assignment));
    Ok(())
}

fn check_effect(effect: &Effect) -> Result<(), TestCaseError> {
    match effect {
        Effect::Commit { assignment, .. } => check_assignment(assignment),
        Effect::Settle { expected, writes } => {
            prop_assert_eq!(expected.len(), writes.len());
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Checks the answer to a heartbeat: each key is granted once at most.
fn check_answer(answer: Option<HeartbeatAnswer>) -> Result<(), TestCaseError> {
    let Some(HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, lease_ms })) = answer else {
        return Ok(());
    };
    prop_assert!(lease_ms > 0 && lease_ms <= 10_000, "a lease of {} ms", lease_ms);
    for pair in grants.windows(2) {
        prop_assert!(pair[0].last < pair[1].first, "{:?}", grants);
    }
    prop_assert!(grants.iter().all(|it| it.first <= it.last), "{:?}", grants);
    Ok(())
}

/// Handles events at rising times and checks everything that comes out.
fn check_events(events: Vec<(ControlEvent, u64)>) -> Result<(), TestCaseError> {
    let mut state = ControlState::new(settings(0), at(0));
    let mut now_ms = 2_000;
    let start = config_event(config());
    let mut answers = Vec::new();
    for (event, step_ms) in std::iter::once((start, 0)).chain(events) {
        now_ms += step_ms;
        let event = match event {
            ControlEvent::Heartbeat { target_id, body, .. } => {
                let (answer, answered) = oneshot::channel();
                answers.push(answered);
                ControlEvent::Heartbeat { target_id, body, answer }
            }
            other => other,
        };
        let mut effects = state.handle(event, at(now_ms));
        effects.extend(state.tick(at(now_ms)));
        for effect in &effects {
            check_effect(effect)?;
        }
        let directory = state.directory(at(now_ms));
        for assignment in directory.assignments.values() {
            check_assignment(assignment)?;
        }
        let _ = state.status_page(at(now_ms));
        let _ = state.sync_snapshot().status_seen(at(now_ms));
        let _ = state.config_doubt(at(now_ms));
        let _ = state.status(at(now_ms)).encode_to_vec();
        if let Some(routing) = state.routing()
            && let RouteMatch::Found(route) = routing.find("shop.example", "/a/b")
        {
            prop_assert!(!route.destinations.is_empty());
        }
    }
    for mut answered in answers {
        check_answer(answered.try_recv().ok())?;
    }
    Ok(())
}

#[test]
fn kept_heartbeats_are_answered_without_a_panic() {
    let events = HEARTBEATS.documents().iter().map(|document| {
        let (answer, _) = oneshot::channel();
        let body = String::from_utf8_lossy(&document.bytes).replace("10.0.0.7:8001", "10.0.0.1:80");
        let body = Bytes::from(body.into_bytes());
        (ControlEvent::Heartbeat { target_id: "t-1".to_owned(), body, answer }, 900)
    });
    check_events(events.collect()).expect("no check fails");
}

#[test]
fn kept_rows_of_keys_are_applied_without_a_panic() {
    for document in ASSIGNMENTS.documents() {
        let value = Some(Bytes::from(document.bytes.clone()));
        let row = Row { key: "keys/carts".to_owned(), value, version: 7 };
        let event =
            ControlEvent::Rows { rows: vec![row], version: 7, confirmed_at: Some(at(2_000)) };
        let events = vec![
            (ControlEvent::StoreReached(true), 0),
            (event, 10),
            (ControlEvent::StoreReached(true), 20_000),
        ];
        check_events(events).expect(&document.name);
    }
}

proptest! {
    #![proptest_config(fuzz_config(400))]

    #[test]
    fn hostile_events_leave_the_invariants_of_the_control_state(
        events in vec((event(), prop_oneof![Just(0_u64), 1..1_000_u64, Just(15_000)]), 1..24),
    ) {
        check_events(events)?;
    }
}
