//! The queue of events for the control thread.

use tokio::sync::mpsc::{self, error::TrySendError};

use super::ControlEvent;

/// The sending side of the queue of events for the control thread.
#[derive(Debug, Clone)]
pub struct ControlQueue {
    sender: mpsc::Sender<ControlEvent>,
}

impl ControlQueue {
    /// Creates a queue for `capacity` events and returns it with its receiving side.
    pub fn new(capacity: usize) -> (Self, mpsc::Receiver<ControlEvent>) {
        let (sender, events) = mpsc::channel(capacity);
        (Self { sender }, events)
    }

    /// Queues an event that its source repeats, such as a status. If the queue is full, the event is
    /// dropped and logged.
    pub fn notify(&self, event: ControlEvent) {
        if self.sender.try_send(event).is_err() {
            log::warn!(event = "control_event_dropped"; "");
        }
    }

    /// Queues an event that is not repeated, without waiting. If the queue is full, a task waits for
    /// room. Requires a Tokio runtime.
    pub fn deliver(&self, event: ControlEvent) {
        let Err(TrySendError::Full(event)) = self.sender.try_send(event) else {
            return;
        };
        log::info!(event = "control_event_delayed"; "");
        let queue = self.clone();
        tokio::spawn(async move { queue.send(event).await });
    }

    /// Queues an event and waits for room.
    pub async fn send(&self, event: ControlEvent) {
        // Fails only while the process ends, since the control loop runs until then.
        if self.sender.send(event).await.is_err() {
            log::debug!(event = "control_loop_gone"; "");
        }
    }
}
