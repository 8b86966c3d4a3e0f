//! Requests are counted on their slices, so that a handoff waits for them and no later one slips in.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use galenastream_node::{NotServing, ServingTable, boot_now};
use galenastream_ownership::{
    BootInstant, CellId, Epoch, HeldSlice, HeldSlices, KeyHash, ServiceId, SliceEpoch, SliceId,
    Term,
};

const HASH: KeyHash = KeyHash(7);

fn id(epoch: u64) -> SliceEpoch {
    SliceEpoch { slice: SliceId(1), epoch: Epoch(epoch) }
}

fn held(epoch: u64, stopping: bool, expires_at: BootInstant) -> HeldSlices {
    let slice = HeldSlice { id: id(epoch), first: KeyHash::MIN, last: KeyHash::MAX, stopping };
    HeldSlices {
        cell: Some(CellId::new(ServiceId(1), 0)),
        term: Term(1),
        expires_at,
        slices: vec![slice],
    }
}

/// The slice in epoch 1, split into two.
fn split(stopping: bool) -> HeldSlices {
    let child = |slice, first, last| HeldSlice {
        id: SliceEpoch { slice: SliceId(slice), epoch: Epoch(2) },
        first: KeyHash(first),
        last: KeyHash(last),
        stopping,
    };
    let slices = vec![child(2, 0, 99), child(3, 100, u64::MAX)];
    HeldSlices { slices, ..held(1, false, later()) }
}

fn later() -> BootInstant {
    boot_now() + Duration::from_secs(60)
}

#[test]
fn a_lease_that_has_run_out_is_not_served() {
    let table = ServingTable::default();
    table.publish(held(1, false, boot_now()));
    assert_eq!(table.enter(HASH).unwrap_err(), NotServing::NotHeld);
}

#[test]
fn a_slice_that_stops_takes_nothing_new() {
    let table = ServingTable::default();
    table.publish(held(1, true, later()));
    assert_eq!(table.enter(HASH).unwrap_err(), NotServing::Stopping);
}

#[tokio::test]
async fn a_stop_waits_for_what_is_in_progress_also_after_the_slice_was_lost_in_between() {
    let table = Arc::new(ServingTable::default());
    table.publish(held(1, false, later()));
    let in_progress = table.enter(HASH).unwrap();
    table.publish(HeldSlices::default());
    table.publish(held(1, true, later()));
    let mut stopped = tokio::spawn({
        let table = table.clone();
        async move { table.wait_until_stopped(id(1)).await }
    });
    let early = tokio::time::timeout(Duration::from_millis(50), &mut stopped).await;
    assert!(early.is_err(), "the stop did not wait");
    in_progress.finish();
    stopped.await.unwrap();
}

#[tokio::test]
async fn the_stop_of_a_slice_waits_for_what_began_before_a_split() {
    let table = Arc::new(ServingTable::default());
    table.publish(held(1, false, later()));
    let in_progress = table.enter(HASH).unwrap();
    for stopping in [false, true] {
        table.publish(split(stopping));
    }
    let mut stops = Vec::new();
    for child in split(true).slices {
        let table = table.clone();
        stops.push(tokio::spawn(async move { table.wait_until_stopped(child.id).await }));
    }
    for stop in &mut stops {
        let early = tokio::time::timeout(Duration::from_millis(20), stop).await;
        assert!(early.is_err(), "the stop did not wait");
    }
    in_progress.finish();
    for stop in stops {
        stop.await.unwrap();
    }
}

#[tokio::test]
async fn an_abandoned_order_counts_until_its_deadline() {
    let table = ServingTable::default();
    table.publish(held(1, false, later()));
    let mut in_progress = table.enter(HASH).unwrap();
    let deadline = boot_now() + Duration::from_millis(100);
    in_progress.hand_over(deadline);
    drop(in_progress);
    table.publish(held(1, true, later()));
    table.wait_until_stopped(id(1)).await;
    assert!(boot_now() >= deadline, "the stop did not wait for the order's deadline");
}

/// Whatever the interleaving, nothing is in progress in an epoch whose stop was reported.
#[test]
fn no_request_slips_past_a_stop() {
    const ROUNDS: u64 = 20_000;
    let table = Arc::new(ServingTable::default());
    let stopped_epoch = Arc::new(AtomicU64::new(0));
    let worker = std::thread::spawn({
        let (table, stopped_epoch) = (table.clone(), stopped_epoch.clone());
        move || {
            let mut late = 0_u64;
            let mut entered = 0_u64;
            while stopped_epoch.load(Ordering::SeqCst) < ROUNDS {
                let Ok(in_progress) = table.enter(HASH) else {
                    continue;
                };
                entered += 1;
                for _ in 0..20 {
                    std::hint::spin_loop();
                }
                late += u64::from(stopped_epoch.load(Ordering::SeqCst) >= in_progress.id().epoch.0);
                in_progress.finish();
            }
            (late, entered)
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    for epoch in 1..=ROUNDS {
        table.publish(held(epoch, false, later()));
        for _ in 0..epoch % 64 {
            std::hint::spin_loop();
        }
        table.publish(held(epoch, true, later()));
        runtime.block_on(table.wait_until_stopped(id(epoch)));
        stopped_epoch.store(epoch, Ordering::SeqCst);
    }
    let (late, entered) = worker.join().unwrap();
    assert!(entered > 0, "no request entered");
    assert_eq!(late, 0, "requests were in progress after the stop of their epoch was reported");
}
