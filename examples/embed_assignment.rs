//! The owners of key ranges without the daemon: a move in two steps, and the lease terms that make it
//! safe. Time comes in as an argument, and each change is what a program would write under the
//! condition that nobody wrote before it.

use std::time::Duration;

use anyhow::{Context, ensure};
use galenastream::prelude::*;

fn main() -> anyhow::Result<()> {
    let owner = |id: &str, node: &str| Owner::new(TargetIncarnation::new(id, 1), node);
    let (first, second) = (owner("target-1", "vm-1"), owner("target-2", "vm-2"));

    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, &first);
    println!("all keys belong to {}", first.target);

    // First write: the keys leave. No node grants leases on them any more.
    let upper = KeyRange::new(32_768, 65_535).context("the range is not empty")?;
    assignment.begin_move(upper, Some(&second));
    let is_leaving = matches!(assignment.entry_of(40_000).holding, Holding::Leaving { .. });
    ensure!(is_leaving, "nobody gets a lease meanwhile");

    // Second write, after the old owner released them: a higher fencing token, and its handover.
    let before = assignment.highest_fence();
    assignment.complete_move(&first.target, upper, "handover-1");
    let entry = assignment.entry_of(40_000);
    ensure!(entry.fence > before, "fencing tokens rise");
    println!("keys {} belong to {} under token {}", entry.range, second.target, entry.fence);

    // What the store keeps.
    let row = assignment.encode_row();
    ensure!(Assignment::decode_row(&row)? == assignment, "the row says the same");
    println!("the row has {} bytes", row.len());

    // How long a lease may be: never beyond the trust in the row that it is granted on.
    let terms = LeaseTerms::new(Duration::from_secs(12), Duration::from_secs(6));
    let confirmed_at = BootInstant::new(0);
    for age_s in [0, 5, 8, 11, 12] {
        let now = confirmed_at + Duration::from_secs(age_s);
        println!("row known to be current {age_s} s ago: {:?}", terms.lease(confirmed_at, now));
    }
    Ok(())
}
