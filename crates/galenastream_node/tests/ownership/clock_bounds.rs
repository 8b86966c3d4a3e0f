//! Checks that a departure is waited out by clocks that are as inaccurate as they may be.

use bytes::Bytes;
use galenastream_adapter::RowWrite;
use galenastream_ranges::{Assignment, Holding, Owner};

use crate::{
    injected_bug::InjectedBug, simulation::Simulation, store::ASSIGNMENT_KEY, variation::Variation,
};

/// Moves the keys of one VM away, which is cut off at the same instant, just after its rows were
/// confirmed. Its clock runs slow by `drift_per_10_000`, those of the other VMs run fast.
fn move_from_slow_vm(seed: u64, drift_per_10_000: i64) -> Simulation {
    let mut simulation =
        Simulation::new(seed, 3, InjectedBug::None).with_variations(&[Variation::PromptWrites]);
    for (index, vm) in simulation.vms.iter_mut().enumerate() {
        let is_slow = index == 1;
        vm.clock.drift_per_10_000 = if is_slow { -drift_per_10_000 } else { drift_per_10_000 };
        vm.target.clock_slow_percent = 2;
    }
    simulation.run_for(8_000 + seed * 130 % 900, false);
    // Each change ends a watch, and the next watch confirms the rows as of now.
    for _ in 0..2 {
        write_assignment(&mut simulation, false);
        simulation.run_for(60, false);
    }
    write_assignment(&mut simulation, true);
    simulation.vms[1].partitioned_until_ms = simulation.now_ms + 30_000;
    simulation.run_for(25_000, false);
    simulation
}

/// Writes the assignment again, with the keys of VM 1 leaving to VM 0 if they are to move.
fn write_assignment(simulation: &mut Simulation, moves_keys: bool) {
    let rows = simulation.store.rows();
    let row = rows.iter().find(|it| it.key == ASSIGNMENT_KEY).expect("the keys are assigned");
    let value = row.value.as_deref().expect("it has a value");
    let mut assignment = Assignment::decode_row(value).expect("it can be decoded");
    let owner_of = |id: &str| -> Owner {
        let holders = assignment.holders();
        holders.into_iter().find(|it| *it.target.id == *id).expect("it holds keys")
    };
    let (from, to) = (owner_of("t-1-0"), owner_of("t-0-0"));
    for entry in assignment.clone().entries() {
        let is_moved = matches!(&entry.holding, Holding::Owned(owner) if *owner == from);
        if moves_keys && is_moved {
            assignment.begin_move(entry.range, Some(&to), 1);
        }
    }
    let value = Bytes::from(assignment.encode_row());
    let put = RowWrite::Put { key: ASSIGNMENT_KEY.to_owned(), value };
    let now_ms = simulation.now_ms;
    simulation.store.commit(&[], &[put], now_ms).expect("it has no conditions");
}

/// Guards against a wait without a margin for clocks: those of nodes are off by 1%, those of targets
/// by 2%.
#[test]
fn a_departure_is_waited_out_by_clocks_within_their_bounds() {
    for seed in 0..4 {
        let violations = move_from_slow_vm(seed, 100).violations;
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn clocks_beyond_their_bounds_are_detected() {
    let is_detected = |seed| !move_from_slow_vm(seed, 1_000).violations.is_empty();
    assert!((0..4).all(is_detected));
}
