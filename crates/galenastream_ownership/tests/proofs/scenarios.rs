//! Named faults and pairs of faults: every property at every step, then the recovery.

use galenastream_ownership::KeyHash;

use crate::support::{
    Fault, Fault::*, Pick, Pick::*, Script, TimedFault, at, in_parallel, kill, pause, play,
};

/// Longer than a lease with all its margins.
const LONG_MS: u64 = 1_500;

/// Longer than a promise, shorter than a lease.
const SHORT_MS: u64 = 400;

/// Seeds of each scenario, each in another kind of cluster.
const SEEDS: std::ops::Range<u64> = 0..4;

const FIRST: Pick = Owner(KeyHash::MIN);
const LAST: Pick = Owner(KeyHash::MAX);

/// Plays the same faults in clusters of several kinds.
pub fn play_all(faults: &[TimedFault]) {
    for seed in SEEDS {
        let script = Script::new(seed, faults.to_vec());
        let script = match seed % 4 {
            0 => script,
            1 => script.with_extreme_clocks(),
            2 => script.with_unchecked_targets().with_extreme_clocks(),
            _ => script.with_load().with_extreme_clocks(),
        };
        if let Err(violation) = play(&script) {
            panic!("seed {seed}: {violation}");
        }
    }
}

/// Makes a test of each scenario.
macro_rules! scenarios {
    ($($name:ident: [$($at_ms:literal => $fault:expr),+ $(,)?];)+) => {
        $(
            #[test]
            fn $name() {
                play_all(&[$(at($at_ms, $fault)),+]);
            }
        )+

        /// The faults of a scenario.
        pub fn scenario(name: &str) -> Vec<TimedFault> {
            match name {
                $(stringify!($name) => vec![$(at($at_ms, $fault)),+],)+
                _ => panic!("there is no scenario {name}"),
            }
        }
    };
}

fn restart(pick: Pick) -> Fault {
    Kill { pick, restart_after_ms: Some(20) }
}

fn pause_before_sending(pick: Pick, for_ms: u64) -> Fault {
    Pause { pick, for_ms, holding_output: true }
}

fn isolate(pick: Pick, for_ms: u64) -> Fault {
    Isolate { pick, for_ms }
}

fn move_first(to: Pick) -> Fault {
    Move { hash: KeyHash::MIN, to }
}

/// The faults that are paired with each other.
fn single_faults() -> Vec<(&'static str, Fault)> {
    vec![
        ("owner dies", kill(LAST)),
        ("coordinator dies", kill(Coordinator)),
        ("witness dies", kill(Witness(0))),
        ("owner restarts", restart(LAST)),
        ("coordinator restarts", restart(Coordinator)),
        ("witness restarts", restart(Witness(1))),
        ("owner paused", pause(LAST, LONG_MS)),
        ("coordinator paused", pause_before_sending(Coordinator, LONG_MS)),
        ("coordinator paused shortly", pause(Coordinator, SHORT_MS)),
        ("witness paused", pause_before_sending(Witness(1), LONG_MS)),
        ("owner isolated", isolate(LAST, LONG_MS)),
        ("coordinator isolated", isolate(Coordinator, LONG_MS)),
        ("witness isolated", isolate(Witness(2), LONG_MS)),
        ("place cut off", CutPlace { place: 0, for_ms: LONG_MS }),
        ("one way cut", CutOneWay { pivot: 3, for_ms: LONG_MS }),
        ("bad network", BadNetwork { loss_percent: 40, delay_ms: 200, for_ms: LONG_MS }),
        ("store down", StoreOutage { for_ms: 3_000 }),
        ("store answers lost", StoreAnswersLost { for_ms: LONG_MS }),
        ("store effects late", StoreLateEffects { delay_ms: 2_000, for_ms: LONG_MS }),
        ("drain", Drain(FIRST)),
        ("move", move_first(Bystander)),
        ("target restarts", TargetRestart { pick: LAST, down_ms: 50 }),
        ("settings applied", ApplySettings),
    ]
}

/// The second fault of a pair comes when the effects of the first are in full course.
const PAIR_GAP_MS: u64 = 230;

#[test]
fn every_pair_of_faults() {
    let faults = single_faults();
    let mut pairs = Vec::new();
    for (index, first) in faults.iter().enumerate() {
        pairs.extend(faults[index..].iter().map(|second| (first, second)));
    }
    let failures = in_parallel(pairs.len(), |index| {
        let ((first_name, first), (second_name, second)) = pairs[index];
        let faults = vec![at(2_000, *first), at(2_000 + PAIR_GAP_MS, *second)];
        let violation = play(&Script::new(index as u64, faults).with_extreme_clocks()).err()?;
        Some(format!("{first_name}, then {second_name}: {violation}"))
    });
    assert!(failures.is_empty(), "{} pairs failed\n{}", failures.len(), failures.join("\n"));
}

scenarios! {
    owner_dies: [2_000 => kill(LAST)];
    coordinator_dies: [2_000 => kill(Coordinator)];
    witness_dies: [2_000 => kill(Witness(0))];
    owner_restarts_without_memory: [2_000 => restart(LAST)];
    coordinator_restarts_without_memory: [2_000 => restart(Coordinator)];
    witness_restarts_without_memory: [2_000 => restart(Witness(0))];
    owner_frozen_longer_than_its_lease: [2_000 => pause(LAST, LONG_MS)];
    owner_frozen_between_handling_and_sending: [2_000 => pause_before_sending(LAST, LONG_MS)];
    coordinator_frozen_longer_than_a_lease: [2_000 => pause(Coordinator, LONG_MS)];
    coordinator_frozen_between_handling_and_sending: [
        2_000 => pause_before_sending(Coordinator, LONG_MS),
    ];
    witness_frozen_between_handling_and_sending: [
        2_000 => pause_before_sending(Witness(0), LONG_MS),
        2_100 => kill(Coordinator),
    ];
    owner_isolated: [2_000 => isolate(LAST, LONG_MS)];
    coordinator_isolated_from_nodes_but_not_from_the_store: [2_000 => isolate(Coordinator, LONG_MS)];
    place_of_the_coordinator_lost: [
        2_000 => kill(Coordinator),
        2_000 => CutPlace { place: 0, for_ms: 3_000 },
    ];
    place_cut_off: [2_000 => CutPlace { place: 1, for_ms: 3_000 }];
    messages_pass_one_way_only: [2_000 => CutOneWay { pivot: 2, for_ms: 3_000 }];
    messages_lost_doubled_and_late: [
        2_000 => BadNetwork { loss_percent: 50, delay_ms: 500, for_ms: 4_000 },
    ];
    store_down_for_a_minute: [2_000 => StoreOutage { for_ms: 60_000 }];
    store_slow: [2_000 => StoreSlow { delay_ms: 600, for_ms: 5_000 }, 2_500 => kill(LAST)];
    write_takes_effect_but_its_answer_is_lost: [
        1_900 => StoreAnswersLost { for_ms: 3_000 },
        2_000 => kill(LAST),
    ];
    write_takes_effect_long_after: [
        1_900 => StoreLateEffects { delay_ms: 4_000, for_ms: 3_000 },
        2_000 => kill(LAST),
        2_100 => move_first(Bystander),
    ];
    coordinator_dies_while_store_is_down: [
        2_000 => StoreOutage { for_ms: 5_000 },
        2_500 => kill(Coordinator),
    ];
    owner_dies_while_store_is_down: [
        2_000 => StoreOutage { for_ms: 5_000 },
        2_500 => kill(LAST),
    ];
    owner_dies_while_coordinator_is_paused: [
        2_000 => pause(Coordinator, LONG_MS),
        2_100 => kill(LAST),
    ];
    owner_and_coordinator_die_together: [2_000 => kill(LAST), 2_000 => kill(Coordinator)];
    witness_restarts_during_takeover: [
        2_000 => kill(Coordinator),
        2_180 => restart(Witness(0)),
    ];
    witness_dies_during_takeover: [2_000 => kill(Coordinator), 2_220 => kill(Witness(1))];
    two_witnesses_die_and_an_operator_takes_over: [
        2_000 => kill(Witness(0)),
        2_010 => kill(Witness(1)),
        2_500 => Takeover(Bystander),
    ];
    two_operators_take_over_at_once: [
        2_000 => kill(Witness(0)),
        2_010 => kill(Witness(1)),
        2_500 => Takeover(Bystander),
        2_500 => Takeover(LAST),
    ];
    operator_takes_over_while_the_old_coordinator_is_paused: [
        2_000 => pause_before_sending(Coordinator, 3_000),
        2_010 => kill(Witness(0)),
        2_020 => kill(Witness(1)),
        2_030 => Takeover(Bystander),
    ];
    two_operators_move_the_same_slice: [
        2_000 => move_first(Bystander),
        2_002 => move_first(LAST),
    ];
    operator_moves_a_slice_while_its_owner_dies: [
        2_000 => move_first(Bystander),
        2_003 => kill(FIRST),
    ];
    target_of_a_move_dies: [2_000 => move_first(LAST), 2_004 => kill(LAST)];
    lost_write_answer_then_coordinator_dies: [
        1_900 => StoreAnswersLost { for_ms: 2_000 },
        2_000 => move_first(Bystander),
        2_100 => kill(Coordinator),
    ];
    late_write_of_a_dead_coordinator: [
        1_900 => StoreLateEffects { delay_ms: 3_000, for_ms: 500 },
        2_000 => move_first(Bystander),
        2_100 => kill(Coordinator),
    ];
    deputy_and_second_candidate: [
        2_000 => StoreOutage { for_ms: 4_000 },
        2_200 => kill(Coordinator),
        2_500 => isolate(Witness(0), 2_000),
    ];
    deputy_frozen_then_store_returns: [
        2_000 => StoreOutage { for_ms: 2_000 },
        2_200 => kill(Coordinator),
        2_800 => pause_before_sending(Witness(0), 2_500),
        2_810 => pause_before_sending(Witness(1), 2_500),
    ];
    deputy_dies: [
        2_000 => StoreOutage { for_ms: 4_000 },
        2_200 => kill(Coordinator),
        3_000 => kill(Witness(0)),
    ];
    witness_replaced_during_a_partition: [
        2_000 => kill(Witness(0)),
        2_400 => CutPlace { place: 1, for_ms: 3_000 },
    ];
    witness_replaced_by_a_lost_write: [
        1_900 => StoreLateEffects { delay_ms: 3_000, for_ms: 4_000 },
        2_000 => kill(Witness(1)),
        4_000 => isolate(Coordinator, 2_000),
    ];
    frozen_owner_returns_after_its_slices_moved: [
        2_000 => pause(FIRST, 4_000),
        5_000 => move_first(Bystander),
    ];
    frozen_coordinator_returns_to_a_later_term: [
        2_000 => pause_before_sending(Coordinator, 4_000),
        3_000 => kill(LAST),
    ];
    frozen_owner_and_frozen_coordinator_return_together: [
        2_000 => pause_before_sending(Coordinator, 3_000),
        2_000 => pause_before_sending(LAST, 3_000),
    ];
    owner_drains_while_coordinator_dies: [2_000 => Drain(LAST), 2_005 => kill(Coordinator)];
    coordinator_drains: [2_000 => Drain(Coordinator)];
    witness_drains: [2_000 => Drain(Witness(0))];
    owner_drains_while_store_is_down: [
        1_900 => StoreOutage { for_ms: 3_000 },
        2_000 => Drain(LAST),
    ];
    settings_applied_while_coordinator_dies: [2_000 => ApplySettings, 2_050 => kill(Coordinator)];
    settings_applied_while_a_node_is_cut_off: [
        2_000 => isolate(LAST, 3_000),
        2_500 => ApplySettings,
        3_500 => ApplySettings,
    ];
    settings_applied_while_store_is_down: [
        2_000 => ApplySettings,
        2_010 => StoreOutage { for_ms: 5_000 },
        2_500 => kill(Coordinator),
    ];
}
