//! Tests of the queue of events for the control thread.

use galenastream_node::{ControlEvent, ControlQueue};

/// Guards against a node that never learns of its own stop, or keeps outdated settings.
#[tokio::test]
async fn an_event_that_is_not_repeated_survives_a_full_queue() {
    let (queue, mut events) = ControlQueue::new(1);
    queue.notify(ControlEvent::StoreReached(true));
    queue.notify(ControlEvent::StoreReached(false));
    queue.deliver(ControlEvent::Closing);
    assert!(matches!(events.recv().await, Some(ControlEvent::StoreReached(true))));
    assert!(matches!(events.recv().await, Some(ControlEvent::Closing)));
}
