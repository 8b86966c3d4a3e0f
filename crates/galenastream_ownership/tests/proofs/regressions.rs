//! Scripts that once found a fault of the state machine, reduced, with its cause.

use galenastream_ownership::KeyHash;

use crate::support::{Fault::*, Pick::*, Script, at, kill, pause, play};

fn check(script: &Script) {
    if let Err(violation) = play(script) {
        panic!("{violation}");
    }
}

/// A coordinator that could never be entitled again kept asking for promises, so that its own
/// witness never sealed and no candidate got a second seal.
#[test]
fn a_coordinator_without_a_quorum_lets_its_witness_seal() {
    let faults = vec![
        at(4_112, kill(Witness(0))),
        at(1_500, CutOneWay { pivot: 1, for_ms: 50 }),
        at(2_832, pause(Coordinator, 259)),
        at(1_663, StoreOutage { for_ms: 1_920 }),
    ];
    check(&Script::new(222_764_965_751_967_428, faults).with_nodes(4, 3));
}

/// Two witnesses of the old set died while the new set was in the row: the joint rule could never
/// be met, and the promises of the new set kept it from being sealed.
#[test]
fn two_witnesses_of_the_old_set_die_during_a_change() {
    let faults = vec![at(3_511, kill(Witness(2))), at(4_127, kill(Witness(0)))];
    check(&Script::new(4_779_876_742_604_017_797, faults).with_nodes(4, 3));
}

/// A deputy whose own write of the next term took effect unseen counted owners as lost from the
/// time of that write, although it had extended their leases since.
#[test]
fn a_former_deputy_counts_from_its_last_extension() {
    let faults = vec![
        at(4_598, Move { hash: KeyHash(10_760_600_709_663_905_107), to: Owner(KeyHash::MIN) }),
        at(2_440, pause(Witness(1), 1_709)),
        at(6_763, Isolate { pick: Coordinator, for_ms: 1_024 }),
        at(4_705, kill(Coordinator)),
        at(5_465, StoreAnswersLost { for_ms: 3_019 }),
    ];
    let script = Script::new(9_391_093_900_406_545_229, faults);
    check(&script.with_nodes(5, 4).with_extreme_clocks());
}

/// A coordinator that had forgotten a frozen member gave its new, empty set the version of the
/// member's old one, and so confirmed the old one.
#[test]
fn a_member_that_was_forgotten_does_not_get_its_old_set_confirmed() {
    let faults = vec![at(2_000, kill(Coordinator)), at(3_500, pause(Owner(KeyHash::MAX), 15_000))];
    for seed in 0..8 {
        check(&Script::new(seed, faults.clone()));
    }
}

/// The write of a new set of witnesses took effect late: a node that had read the old set and one
/// that read the new set each got two first seals, and both became deputies.
#[test]
fn deputies_of_different_witness_sets() {
    for (seed, absent_ms) in [(28, 2_000), (237, 2_000), (457, 2_000)] {
        let index = (seed % 3) as usize;
        let other = Witness((index + 1 + (seed / 3 % 2) as usize) % 3);
        let group = [Coordinator, other, Bystander];
        let faults = vec![
            at(2_000, StoreLateEffects { delay_ms: 4_000, for_ms: 4_000 }),
            at(2_000, pause(Witness(index), absent_ms)),
            at(2_000 + absent_ms, Split { group, for_ms: 3_000 }),
        ];
        check(&Script::new(seed, faults).with_nodes(7, 3));
    }
}

/// The own leases of a coordinator were shortened when another set of witnesses began to count,
/// but orders under the longer lease were under way when its successor took its slices over.
#[test]
fn an_order_outlives_a_lease_that_was_shortened() {
    let bad = |loss_percent, delay_ms, for_ms| BadNetwork { loss_percent, delay_ms, for_ms };
    let restart = |pick, after_ms| Kill { pick, restart_after_ms: Some(after_ms) };
    let faults = vec![
        at(3_067, Isolate { pick: Witness(0), for_ms: 2_197 }),
        at(3_055, StoreLateEffects { delay_ms: 100, for_ms: 1_829 }),
        at(3_591, bad(56, 275, 3_469)),
        at(5_194, kill(Coordinator)),
        at(7_286, bad(47, 1, 120)),
        at(2_742, bad(49, 193, 250)),
        at(4_568, StoreSlow { delay_ms: 533, for_ms: 1_434 }),
        at(4_230, Takeover(Bystander)),
        at(7_444, Isolate { pick: Coordinator, for_ms: 196 }),
        at(3_588, restart(Node(2), 1_294)),
        at(1_553, restart(Node(2), 1_492)),
        at(1_905, kill(Witness(2))),
        at(2_552, Isolate { pick: Bystander, for_ms: 285 }),
        at(2_886, restart(Coordinator, 1_943)),
    ];
    let script = Script::new(3_292_545_400_169_911_310, faults);
    check(&script.with_nodes(5, 4).with_extreme_clocks());
}

/// The same change of witnesses as in `planted::no_joint_witnesses`, with all rules in force.
#[test]
fn a_candidate_of_the_new_set_against_a_coordinator_that_knows_the_old_one() {
    for seed in 0..30 {
        let index = (seed % 3) as usize;
        let other = Witness((index + 1 + (seed / 3 % 2) as usize) % 3);
        let group = [Coordinator, Witness(index), other];
        let split_ms = 3_000 + seed % 11 * 20;
        let faults = vec![
            at(1_900, StoreLateEffects { delay_ms: 1_500, for_ms: 1_500 }),
            at(2_000, pause(Witness(index), split_ms - 2_050)),
            at(split_ms, Split { group, for_ms: 4_000 }),
            at(split_ms, StoreCut { pick: Coordinator, for_ms: 4_000 }),
        ];
        check(&Script::new(seed, faults).with_nodes(7, 3));
    }
}

/// The write of a cell's first witnesses was not settled: their promises alone entitled the
/// coordinator, although the row still let others take over once its term had passed.
#[test]
fn first_witnesses_whose_write_is_not_settled() {
    for seed in 0..60 {
        let at_ms = 20 + seed * 17;
        let faults = vec![
            at(at_ms, StoreCut { pick: Coordinator, for_ms: 8_000 }),
            at(at_ms, Isolate { pick: Bystander, for_ms: 8_000 }),
        ];
        check(&Script::new(seed, faults).with_nodes(5, 3));
    }
}
