//! Tests of the connections that a process has room for.

use std::{sync::Arc, time::Duration};

use galenastream_routing::{MemoryNeed, PortClients};
use galenastream_runtime::{ConnectionSlot, ConnectionSlots};
use tokio::time::{sleep, timeout};

const MAX_OPEN: usize = 3;

/// Time after which a connection without progress has stalled.
const STALLED: Duration = Duration::from_millis(1_050);

/// How long a task may take that has nothing to wait for.
const SOON: Duration = Duration::from_secs(10);

/// How long it is watched that a task waits.
const WHILE: Duration = Duration::from_millis(200);

const HELD_BYTES: usize = 1_000;

async fn fill(slots: &Arc<ConnectionSlots>) -> Vec<ConnectionSlot> {
    let mut open = Vec::new();
    for _ in 0..MAX_OPEN {
        open.push(timeout(SOON, slots.admit()).await.expect("there is room"));
    }
    open
}

/// Waits until one of the connections has to make room, and drops it as its task does.
async fn close_evicted(open: &mut Vec<ConnectionSlot>) -> usize {
    let evicted = futures::future::select_all(open.iter().map(|it| Box::pin(it.evicted())));
    let (_, index, _) = timeout(SOON, evicted).await.expect("a connection is closed");
    open.remove(index);
    index
}

#[tokio::test]
async fn a_connection_waits_until_another_has_made_room() {
    let slots = ConnectionSlots::new("test", PortClients::Any, MAX_OPEN);
    let mut open = fill(&slots).await;
    for slot in &open {
        slot.state().record_request();
    }
    assert!(timeout(WHILE, slots.admit()).await.is_err(), "requests are in progress on all others");
    open[1].state().record_answer();
    let next = slots.clone();
    let next = tokio::spawn(async move { next.admit().await });
    assert_eq!(close_evicted(&mut open).await, 1, "the idle one is closed");
    let _next = timeout(SOON, next).await.expect("there is room").expect("the task ends");
    assert_eq!(slots.open(), MAX_OPEN);
}

#[tokio::test]
async fn a_connection_that_ends_by_itself_makes_room() {
    let slots = ConnectionSlots::new("test", PortClients::Any, MAX_OPEN);
    let mut open = fill(&slots).await;
    for slot in &open {
        slot.state().record_request();
    }
    let next = slots.clone();
    let next = tokio::spawn(async move { next.admit().await });
    sleep(WHILE).await;
    drop(open.pop());
    timeout(SOON, next).await.expect("there is room").expect("the task ends");
}

/// Guards against memory that is taken from requests which still arrive, and against a search for each
/// request that is refused.
#[tokio::test]
async fn memory_is_freed_by_connections_that_have_stalled() {
    let slots = ConnectionSlots::new("test", PortClients::Any, MAX_OPEN);
    let mut open = fill(&slots).await;
    let free = |bytes| slots.free_memory(MemoryNeed::ShortRequest, bytes);
    open[0].state().record_part(HELD_BYTES);
    assert!(!free(HELD_BYTES), "the request has just begun");
    sleep(STALLED).await;
    open[2].state().record_part(HELD_BYTES);
    assert!(!free(HELD_BYTES + 1), "not enough can be freed");
    assert!(!free(HELD_BYTES), "nothing is looked for again at once");
    assert!(!slots.free_memory(MemoryNeed::LongRequest, HELD_BYTES), "long ones wait longer");
    sleep(WHILE).await;
    assert!(free(HELD_BYTES));
    assert_eq!(close_evicted(&mut open).await, 0);
    assert!(!free(HELD_BYTES), "it was freed only once");
}

#[tokio::test]
async fn an_answer_that_is_not_read_is_given_up_for_others() {
    let slots = ConnectionSlots::new("test", PortClients::Any, MAX_OPEN);
    let mut open = fill(&slots).await;
    open[1].state().record_request();
    open[1].state().record_unread(HELD_BYTES);
    sleep(STALLED).await;
    open[1].state().record_progress();
    assert!(!slots.free_memory(MemoryNeed::Answer, HELD_BYTES), "it is being read");
    sleep(STALLED).await;
    assert!(slots.free_memory(MemoryNeed::Answer, HELD_BYTES));
    assert_eq!(close_evicted(&mut open).await, 1);
}

/// Guards against requests that stop behind another one and keep their memory: the answer to the first made
/// it count for nothing.
#[tokio::test]
async fn memory_of_a_request_that_stops_behind_another_is_freed() {
    let slots = ConnectionSlots::new("test", PortClients::Any, MAX_OPEN);
    let mut open = fill(&slots).await;
    open[2].state().record_request();
    open[2].state().record_part(HELD_BYTES);
    open[2].state().record_read();
    open[2].state().record_answer();
    sleep(STALLED).await;
    assert!(slots.free_memory(MemoryNeed::ShortRequest, HELD_BYTES));
    assert_eq!(close_evicted(&mut open).await, 2);
}
