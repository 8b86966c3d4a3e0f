//! Strategies that make scripts up.

use galenastream_ownership::KeyHash;
use proptest::{
    bool::weighted,
    collection::vec,
    option,
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner},
};

use super::{Fault, Pick, Script, TimedFault, at, play};

/// What the faults of a script are aimed at.
#[derive(Debug, Clone, Copy)]
pub enum Focus {
    /// Nothing in particular.
    Anything,
    /// Many faults at a time.
    Many,
    /// A coordinator is lost while the store is down.
    Deputies,
    /// A witness is replaced while writes get lost.
    WitnessChange,
    /// A cell in two places, which runs on the store alone.
    StoreAlone,
}

/// The script of a seed.
pub fn script_of(focus: Focus, seed: u64) -> Script {
    let mut runner = runner(seed);
    any_script(focus).new_tree(&mut runner).expect("every script is valid").current()
}

/// Plays the script of a seed; a failing one is reduced to the faults that it needs.
pub fn play_seed(focus: Focus, seed: u64) -> Result<(), String> {
    let mut runner = runner(seed);
    let tree = any_script(focus).new_tree(&mut runner).expect("every script is valid");
    let test = |script: Script| match play(&script) {
        Ok(_) => Ok(()),
        Err(violation) => Err(TestCaseError::fail(violation.to_string())),
    };
    match runner.run_one(tree, test) {
        Ok(_) => Ok(()),
        Err(TestError::Fail(why, script)) => {
            let seen = format!("{focus:?} seed {seed}: {why}\n{script:?}");
            if std::env::var_os("GALENASTREAM_TRACE").is_some() {
                let _ = play(&Script { trace: true, ..script });
            }
            Err(seen)
        }
        Err(TestError::Abort(why)) => Err(format!("{focus:?} seed {seed}: aborted: {why}")),
    }
}

fn runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config { failure_persistence: None, max_shrink_iters: 300, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn any_script(focus: Focus) -> impl Strategy<Value = Script> {
    let places = match focus {
        Focus::Anything | Focus::Many => 2..5usize,
        Focus::Deputies | Focus::WitnessChange => 3..4,
        Focus::StoreAlone => 2..3,
    };
    let size = (any::<u64>(), 4..8usize, places);
    let kind = (any::<bool>(), weighted(0.2), weighted(0.3));
    (size, kind, any_faults(focus)).prop_map(|((seed, nodes, places), kind, faults)| {
        let (extreme_clocks, unchecked_targets, under_load) = kind;
        Script {
            nodes,
            places,
            extreme_clocks,
            unchecked_targets,
            under_load,
            ..Script::new(seed, faults)
        }
    })
}

fn any_faults(focus: Focus) -> BoxedStrategy<Vec<TimedFault>> {
    // The cluster has formed before the first fault.
    let timed = |from_ms: u64, to_ms: u64, fault: BoxedStrategy<Fault>| {
        (from_ms..to_ms, fault).prop_map(|(at_ms, fault)| at(at_ms, fault)).boxed()
    };
    match focus {
        Focus::Anything => vec(timed(1_500, 7_000, any_fault().boxed()), 1..10).boxed(),
        Focus::Many => vec(timed(1_500, 12_000, any_fault().boxed()), 10..30).boxed(),
        Focus::Deputies => {
            let outage = (2_000..6_000u64).prop_map(|for_ms| Fault::StoreOutage { for_ms });
            let outage = timed(2_000, 2_200, outage.boxed());
            let lost = timed(2_200, 2_600, loss_of(Pick::Coordinator));
            let rest = vec(timed(2_200, 6_000, stall_or_cut()), 0..5);
            (outage, lost, rest).prop_map(join).boxed()
        }
        Focus::WitnessChange => {
            let lost = timed(2_000, 2_500, (0..3usize).prop_flat_map(loss_of_witness).boxed());
            let write = timed(1_800, 4_000, store_fault());
            let rest = vec(timed(2_000, 6_000, stall_or_cut()), 0..5);
            (lost, write, rest).prop_map(join).boxed()
        }
        Focus::StoreAlone => {
            let first = timed(2_000, 4_000, store_fault());
            let second = timed(2_000, 5_000, stall_or_cut());
            let rest = vec(timed(2_000, 6_000, any_fault().boxed()), 0..4);
            (first, second, rest).prop_map(join).boxed()
        }
    }
}

fn join((first, second, rest): (TimedFault, TimedFault, Vec<TimedFault>)) -> Vec<TimedFault> {
    let mut faults = vec![first, second];
    faults.extend(rest);
    faults
}

fn any_pick() -> impl Strategy<Value = Pick> {
    prop_oneof![
        (0..8usize).prop_map(Pick::Node),
        Just(Pick::Coordinator),
        (0..3usize).prop_map(Pick::Witness),
        any::<u64>().prop_map(|it| Pick::Owner(KeyHash(it))),
        Just(Pick::Bystander),
    ]
}

fn any_duration_ms() -> impl Strategy<Value = u64> {
    prop_oneof![50..400u64, 400..1_500u64, 1_500..4_000u64]
}

fn loss_of(pick: Pick) -> BoxedStrategy<Fault> {
    let kill = Fault::Kill { pick, restart_after_ms: None };
    let pause = (any_duration_ms(), any::<bool>());
    let pause = pause.prop_map(move |(for_ms, holding_output)| Fault::Pause {
        pick,
        for_ms,
        holding_output,
    });
    let isolate = any_duration_ms().prop_map(move |for_ms| Fault::Isolate { pick, for_ms });
    prop_oneof![Just(kill), pause, isolate].boxed()
}

fn loss_of_witness(index: usize) -> BoxedStrategy<Fault> {
    let pick = Pick::Witness(index);
    let restart =
        (20..1_000u64).prop_map(move |it| Fault::Kill { pick, restart_after_ms: Some(it) });
    prop_oneof![1 => restart, 2 => loss_of(pick)].boxed()
}

fn stall_or_cut() -> BoxedStrategy<Fault> {
    let for_ms = any_duration_ms;
    prop_oneof![
        (any_pick(), for_ms(), any::<bool>()).prop_map(|(pick, for_ms, holding_output)| {
            Fault::Pause { pick, for_ms, holding_output }
        }),
        (any_pick(), for_ms()).prop_map(|(pick, for_ms)| Fault::Isolate { pick, for_ms }),
        (0..4usize, for_ms()).prop_map(|(place, for_ms)| Fault::CutPlace { place, for_ms }),
        (1..8usize, for_ms()).prop_map(|(pivot, for_ms)| Fault::CutOneWay { pivot, for_ms }),
        (any_pick(), any_pick(), any_pick(), for_ms())
            .prop_map(|(a, b, c, for_ms)| Fault::Split { group: [a, b, c], for_ms }),
    ]
    .boxed()
}

fn store_fault() -> BoxedStrategy<Fault> {
    let for_ms = any_duration_ms;
    prop_oneof![
        for_ms().prop_map(|for_ms| Fault::StoreOutage { for_ms }),
        (10..700u64, for_ms()).prop_map(|(delay_ms, for_ms)| Fault::StoreSlow { delay_ms, for_ms }),
        for_ms().prop_map(|for_ms| Fault::StoreAnswersLost { for_ms }),
        (any_pick(), for_ms()).prop_map(|(pick, for_ms)| Fault::StoreCut { pick, for_ms }),
        (100..4_000u64, for_ms())
            .prop_map(|(delay_ms, for_ms)| Fault::StoreLateEffects { delay_ms, for_ms }),
    ]
    .boxed()
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let for_ms = any_duration_ms;
    prop_oneof![
        8 => stall_or_cut(),
        5 => store_fault(),
        3 => (any_pick(), option::of(20..2_000u64))
            .prop_map(|(pick, restart_after_ms)| Fault::Kill { pick, restart_after_ms }),
        2 => (1..60u32, 1..300u64, for_ms()).prop_map(|(loss_percent, delay_ms, for_ms)| {
            Fault::BadNetwork { loss_percent, delay_ms, for_ms }
        }),
        1 => any_pick().prop_map(Fault::Drain),
        2 => (any::<u64>(), any_pick())
            .prop_map(|(hash, to)| Fault::Move { hash: KeyHash(hash), to }),
        1 => any_pick().prop_map(Fault::Takeover),
        1 => (any_pick(), 10..500u64)
            .prop_map(|(pick, down_ms)| Fault::TargetRestart { pick, down_ms }),
        1 => Just(Fault::ApplySettings),
    ]
}
