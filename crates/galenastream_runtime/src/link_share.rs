//! The link of the VM, shared by all connections of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use galenastream_routing::{LinkSchedule, TransferId, TransferOrder};
use galenastream_utils::FastMap;
use tokio::sync::{Notify, oneshot};

use crate::{boot_now, sleep_until};

/// The link of the VM, shared by all connections of the process.
///
/// Wraps [`LinkSchedule`] for concurrent use: the sender of a long answer waits for its turn with
/// [`Transfer::turn`] before each part.
#[derive(Debug)]
pub struct LinkShare {
    state: Mutex<LinkState>,
    /// Notified when [`LinkShare::run`] has to look for the next part.
    changed: Notify,
}

#[derive(Debug)]
struct LinkState {
    schedule: LinkSchedule,
    turns: FastMap<TransferId, oneshot::Sender<()>>,
}

/// A long answer that is sent, or is going to be. Dropping it gives its place on the link up.
#[derive(Debug)]
pub struct Transfer {
    link: Arc<LinkShare>,
    order: TransferOrder,
    id: TransferId,
    /// The turn that is waited for.
    turn: Option<oneshot::Receiver<()>>,
}

impl LinkShare {
    /// Creates the share of a link with this bandwidth; `None` if it is not known.
    pub fn new(mbit_per_s: Option<f64>) -> Arc<Self> {
        let schedule = LinkSchedule::new(mbit_per_s);
        let state = Mutex::new(LinkState { schedule, turns: FastMap::default() });
        Arc::new(Self { state, changed: Notify::new() })
    }

    /// Hands out the turns. Has to run as long as long answers are sent.
    pub async fn run(&self) {
        loop {
            let next_at = {
                let mut state = self.lock();
                state.hand_out();
                state.schedule.next_start_at(boot_now())
            };
            let timer = async {
                match next_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Counts a message that is handed to the link without waiting.
    pub fn record(&self, bytes: usize) {
        self.lock().schedule.record(bytes, boot_now());
    }

    /// Adds the size of a complete long answer to the mean.
    pub fn add_answer_size(&self, bytes: usize) {
        self.lock().schedule.add_answer_size(bytes);
    }

    /// Announces a transfer of the mean size.
    pub fn announce(self: &Arc<Self>, order: TransferOrder) -> Transfer {
        let id = self.lock().schedule.announce(order);
        Transfer { link: self.clone(), order, id, turn: None }
    }

    /// Returns how long a transfer in this order would wait, and for how long one of the mean size
    /// takes the link.
    pub fn expected_times(&self, order: TransferOrder) -> (Duration, Duration) {
        let state = self.lock();
        let now = boot_now();
        (state.schedule.expected_wait(order, now), state.schedule.mean_duration())
    }

    /// How many long answers are sent or are going to be.
    pub fn transfer_count(&self) -> usize {
        self.lock().schedule.transfer_count()
    }

    /// The mean size of the long answers so far, in bytes.
    pub fn mean_answer_bytes(&self) -> usize {
        self.lock().schedule.mean_answer_bytes()
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    fn hand_out(&mut self) {
        while let Some(id) = self.schedule.start_next(boot_now()) {
            // A transfer that was dropped meanwhile needs no turn.
            if let Some(turn) = self.turns.remove(&id) {
                let _ = turn.send(());
            }
        }
    }
}

impl Transfer {
    /// The place among other transfers.
    pub const fn order(&self) -> TransferOrder {
        self.order
    }

    /// Sets the size of the answer once it is known.
    pub fn set_bytes(&self, bytes: usize) {
        self.link.lock().schedule.set_bytes(self.order, self.id, bytes);
    }

    /// Waits until a part of this size may be sent. If the future is dropped, the next call goes on
    /// waiting for the same turn.
    pub async fn turn(&mut self, bytes: usize) {
        let turn = self.turn.get_or_insert_with(|| {
            let (sender, receiver) = oneshot::channel();
            let mut state = self.link.lock();
            state.turns.insert(self.id, sender);
            state.schedule.set_ready(self.order, self.id, bytes);
            self.link.changed.notify_one();
            receiver
        });
        // The sender is only dropped with this transfer.
        let _ = turn.await;
        self.turn = None;
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        state.schedule.remove(self.order, self.id);
        state.turns.remove(&self.id);
    }
}
