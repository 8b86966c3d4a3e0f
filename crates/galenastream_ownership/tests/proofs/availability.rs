//! How long positions are unserved after a single fault.

use galenastream_ownership::KeyHash;

use crate::support::{Fault, Fault::*, MS, Pick, Pick::*, Script, World, in_parallel, kill, pause};

const SEEDS: usize = 24;

/// The cluster has formed and nothing moves any more.
const SETTLED_MS: u64 = 8_000;

/// How long the effects of the fault are watched.
const WATCH_MS: u64 = 8_000;

/// The longest time for which a position was unserved, over all seeds. `spared` positions of the
/// node that the fault strikes do not count.
fn worst_gap_ms(fault: Fault, spared: Option<Pick>) -> u64 {
    worst_gap_in_places_ms(3, fault, spared)
}

fn worst_gap_in_places_ms(places: usize, fault: Fault, spared: Option<Pick>) -> u64 {
    let worst = std::sync::atomic::AtomicU64::new(0);
    let failures = in_parallel(SEEDS, |seed| {
        let script = Script::new(seed as u64, Vec::new()).with_extreme_clocks();
        let mut world = World::new(&script.with_nodes(6, places));
        let gap_ms = world.run_until(SETTLED_MS * MS).and_then(|()| {
            let struck = spared.and_then(|it| world.pick(it));
            let own = struck.map(|it| world.served_by(it)).unwrap_or_default();
            world.inject(fault);
            let end_ns = world.now_ns + WATCH_MS * MS;
            world.longest_gap_ms(end_ns, &own)
        });
        match gap_ms {
            Ok(gap_ms) => {
                worst.fetch_max(gap_ms, std::sync::atomic::Ordering::Relaxed);
                None
            }
            Err(violation) => Some(violation.to_string()),
        }
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    worst.into_inner()
}

/// An owner that is neither coordinator nor witness.
const ANY_OWNER: Pick = Bystander;

#[test]
fn keys_of_a_lost_vm_are_served_again_within_a_second() {
    let gap_ms = worst_gap_ms(kill(ANY_OWNER), None);
    println!("worst unserved time after the loss of an owner: {gap_ms} ms");
    assert!(gap_ms < 1_000, "{gap_ms} ms");
}

#[test]
fn keys_of_a_lost_coordinator_are_served_again_within_a_second() {
    let gap_ms = worst_gap_ms(kill(Coordinator), None);
    println!("worst unserved time after the loss of a coordinator: {gap_ms} ms");
    assert!(gap_ms < 1_000, "{gap_ms} ms");
}

#[test]
fn keys_of_other_vms_stay_served_when_a_coordinator_is_lost() {
    let gap_ms = worst_gap_ms(kill(Coordinator), Some(Coordinator));
    assert_eq!(gap_ms, 0);
}

#[test]
fn keys_of_other_vms_stay_served_when_a_coordinator_freezes() {
    let gap_ms = worst_gap_ms(pause(Coordinator, 2 * WATCH_MS), Some(Coordinator));
    assert_eq!(gap_ms, 0);
}

#[test]
fn all_keys_stay_served_when_a_witness_without_slices_of_its_own_is_lost() {
    let gap_ms = worst_gap_ms(kill(Witness(0)), Some(Witness(0)));
    assert_eq!(gap_ms, 0);
}

#[test]
fn all_keys_stay_served_while_the_store_is_down() {
    let gap_ms = worst_gap_ms(StoreOutage { for_ms: WATCH_MS }, None);
    assert_eq!(gap_ms, 0);
}

#[test]
fn a_planned_move_takes_less_than_fifty_milliseconds() {
    let gap_ms = worst_gap_ms(Move { hash: KeyHash::MIN, to: ANY_OWNER }, None);
    println!("worst unserved time during a planned move: {gap_ms} ms");
    assert!(gap_ms < 50, "{gap_ms} ms");
}

#[test]
fn a_drain_hands_every_slice_over_in_less_than_fifty_milliseconds() {
    let gap_ms = worst_gap_ms(Drain(ANY_OWNER), None);
    println!("worst unserved time during a drain: {gap_ms} ms");
    assert!(gap_ms < 50, "{gap_ms} ms");
}

/// Two places are too few for witnesses, so only the store tells that a coordinator is lost.
#[test]
fn a_cell_on_the_store_alone_is_served_again_after_its_store_term() {
    let gap_ms = worst_gap_in_places_ms(2, kill(Coordinator), None);
    println!("worst unserved time on the store alone, coordinator lost: {gap_ms} ms");
    assert!(gap_ms < 5_000, "{gap_ms} ms");
}

#[test]
fn a_cell_on_the_store_alone_loses_an_owner_like_any_other() {
    let gap_ms = worst_gap_in_places_ms(2, kill(ANY_OWNER), None);
    println!("worst unserved time on the store alone, owner lost: {gap_ms} ms");
    assert!(gap_ms < 1_000, "{gap_ms} ms");
}
