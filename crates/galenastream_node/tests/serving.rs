//! Requests are counted on their slices, so that a handoff waits for them and no later one slips in.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
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

/// Whatever the interleaving, nothing is in progress on a slice whose stop was reported.
#[test]
fn no_request_slips_past_a_stop() {
    const ROUNDS: u64 = 300;
    const THREADS: usize = 3;
    let table = Arc::new(ServingTable::default());
    let working = Arc::new(AtomicU32::new(0));
    let done = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..THREADS {
        let (table, working, done) = (table.clone(), working.clone(), done.clone());
        threads.push(std::thread::spawn(move || {
            let mut entered = 0_u64;
            while !done.load(Ordering::SeqCst) {
                if let Ok(in_progress) = table.enter(HASH) {
                    working.fetch_add(1, Ordering::SeqCst);
                    entered += 1;
                    std::hint::spin_loop();
                    working.fetch_sub(1, Ordering::SeqCst);
                    in_progress.finish();
                }
            }
            entered
        }));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    for epoch in 1..=ROUNDS {
        table.publish(held(epoch, false, later()));
        std::thread::sleep(Duration::from_micros(200));
        table.publish(held(epoch, true, later()));
        runtime.block_on(table.wait_until_stopped(id(epoch)));
        assert_eq!(working.load(Ordering::SeqCst), 0, "work went on in epoch {epoch}");
    }
    done.store(true, Ordering::SeqCst);
    let entered: u64 = threads.into_iter().map(|it| it.join().unwrap()).sum();
    assert!(entered > 0, "no request entered");
}
