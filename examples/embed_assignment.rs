//! Ownership of key ranges without the daemon: a move in two writes, and the limits on leases that
//! make it safe. The time is passed in as an argument. A program would store each change by a write
//! on condition that the row is unchanged since it was read.

use std::time::Duration;

use anyhow::{Context, ensure};
use galenastream::prelude::*;

fn main() -> anyhow::Result<()> {
    let owner = |id: &str, node: &str| Owner::new(TargetIncarnation::new(id, 1), node);
    let (first, second) = (owner("target-1", "vm-1"), owner("target-2", "vm-2"));

    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &first);
    println!("all keys belong to {}", first.target);

    // First write: the keys are leaving. No node grants further leases on them.
    let upper = KeyRange::new(32_768, 65_535).context("the range is empty")?;
    assignment.begin_move(upper, Some(&second), 1);
    let is_leaving = matches!(assignment.entry_of(40_000).holding, Holding::Leaving { .. });
    ensure!(is_leaving, "the keys are not leaving");

    // Second write, after the old owner has released the keys: the new owner gets a higher fencing
    // token, and the handover token of the release.
    let before = assignment.highest_fence();
    assignment.complete_move(&first.target, upper, "handover-1");
    let entry = assignment.entry_of(40_000);
    ensure!(entry.fence > before, "the fencing token has not risen");
    println!("keys {} belong to {} under token {}", entry.range, second.target, entry.fence);

    // The encoded row, as the store keeps it.
    let row = assignment.encode_row();
    ensure!(
        Assignment::decode_row(&row)? == assignment,
        "the decoded row differs from the assignment"
    );
    println!("the row has {} bytes", row.len());

    // The duration of a lease is limited by the validity of the row that it is granted on.
    let terms = LeaseTerms::new(Duration::from_secs(12), Duration::from_secs(6));
    let confirmed_at = BootInstant::new(0);
    for age_s in [0, 5, 8, 11, 12] {
        let now = confirmed_at + Duration::from_secs(age_s);
        println!("lease on a row confirmed {age_s} s ago: {:?}", terms.lease(confirmed_at, now));
    }
    Ok(())
}
