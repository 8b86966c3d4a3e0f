//! Tests of the queue of events for the control thread.

use std::time::Duration;

use galenastream_node::{ControlEvent, ControlQueue};
use tokio::time::timeout;

/// Guards against a node that never learns of its own stop, or keeps outdated settings.
#[tokio::test]
async fn an_event_that_is_not_repeated_survives_a_full_queue() {
    let (queue, mut events) = ControlQueue::new(1);
    queue.notify(ControlEvent::StoreReached(true));
    queue.notify(ControlEvent::StoreReached(false));
    queue.deliver(ControlEvent::Closing);
    assert!(matches!(events.recv().await, Some(ControlEvent::StoreReached(true))));
    let next = timeout(Duration::from_secs(5), events.recv()).await;
    assert!(matches!(next, Ok(Some(ControlEvent::Closing))), "{next:?}");
}
