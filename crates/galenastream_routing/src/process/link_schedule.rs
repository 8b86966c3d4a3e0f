//! Order and pace of long answers on the link of a VM.
//!
//! Load pattern: answers of several hundred kilobytes fill a slow link, which also carries short
//! answers, statuses and requests. Without a limit, they would fill the buffers of all connections,
//! and everything else would wait behind them for seconds.

use std::{collections::BTreeMap, time::Duration};

use galenastream_utils::BootInstant;

/// The share of the link's bandwidth that is used, in percent. The rest is left to headers and to
/// messages that are not counted.
const LINK_SHARE_PERCENT: f64 = 90.0;

/// How much of the link's time is handed out ahead. A short message waits for long ones for about this
/// time at most.
const MAX_AHEAD: Duration = Duration::from_millis(20);

/// The assumed size of a long answer until one was sent.
const ASSUMED_ANSWER_BYTES: f64 = 64.0 * 1_024.0;

/// The weight of a new sample in the moving mean size of long answers.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// The longest time for which the link is taken for busy because of messages that did not wait. Their
/// connections hold them back if the link does not carry them.
const MAX_RECORDED_AHEAD: Duration = Duration::from_millis(200);

const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MBIT: f64 = 1_000_000.0;

/// The place of a long answer among others: the more urgent first, then the one that is due first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransferOrder {
    /// The priority of its route; 0 is the most urgent.
    pub rank: u8,
    /// When it is due.
    pub due: BootInstant,
}

/// Identifies a long answer within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(u64);

/// Orders and paces the long answers that a node sends over the link of its VM.
///
/// A transfer is announced when its request is admitted, with an estimate of its size, so that later
/// requests see the link as full as it will be.
#[derive(Debug)]
pub struct LinkSchedule {
    bytes_per_s: f64,
    /// When the link will have sent all that was handed to it.
    idle_at: BootInstant,
    transfers: BTreeMap<(TransferOrder, TransferId), PendingTransfer>,
    next_id: u64,
    mean_answer_bytes: f64,
}

/// What is left of a transfer.
#[derive(Debug, Clone, Copy)]
struct PendingTransfer {
    remaining_bytes: f64,
    /// The size of the part that its sender has ready.
    ready_bytes: Option<usize>,
}

impl LinkSchedule {
    /// Creates the schedule of a link with this bandwidth; `None` if it is not known, and nothing
    /// waits.
    pub fn new(mbit_per_s: Option<f64>) -> Self {
        let bytes_per_s = |it: f64| it * BITS_PER_MBIT / BITS_PER_BYTE * LINK_SHARE_PERCENT / 100.0;
        Self {
            bytes_per_s: mbit_per_s.map_or(f64::INFINITY, bytes_per_s),
            idle_at: BootInstant::default(),
            transfers: BTreeMap::new(),
            next_id: 0,
            mean_answer_bytes: ASSUMED_ANSWER_BYTES,
        }
    }

    /// The mean size of the long answers so far, in bytes.
    pub fn mean_answer_bytes(&self) -> usize {
        self.mean_answer_bytes as usize
    }

    /// The number of announced transfers that have not ended.
    pub fn transfer_count(&self) -> usize {
        self.transfers.len()
    }

    /// Counts a message that is handed to the link without waiting.
    pub fn record(&mut self, bytes: usize, now: BootInstant) {
        let idle_at = self.idle_at.max(now) + self.duration_of(bytes as f64);
        self.idle_at = idle_at.min(now + MAX_RECORDED_AHEAD);
    }

    /// Announces a transfer of the mean size.
    pub fn announce(&mut self, order: TransferOrder) -> TransferId {
        let id = TransferId(self.next_id);
        self.next_id += 1;
        let remaining_bytes = self.mean_answer_bytes;
        self.transfers.insert((order, id), PendingTransfer { remaining_bytes, ready_bytes: None });
        id
    }

    /// Adds the size of a complete answer to the mean.
    pub fn add_answer_size(&mut self, bytes: usize) {
        self.mean_answer_bytes += (bytes as f64 - self.mean_answer_bytes) * SAMPLE_WEIGHT;
    }

    /// Sets the size of a transfer once it is known.
    pub fn set_bytes(&mut self, order: TransferOrder, id: TransferId, bytes: usize) {
        if let Some(transfer) = self.transfers.get_mut(&(order, id)) {
            transfer.remaining_bytes = bytes as f64;
        }
    }

    /// Records that the sender of a transfer has its next part ready.
    pub fn set_ready(&mut self, order: TransferOrder, id: TransferId, bytes: usize) {
        if let Some(transfer) = self.transfers.get_mut(&(order, id)) {
            transfer.ready_bytes = Some(bytes);
        }
    }

    /// Removes a transfer that has ended, or whose request did not run.
    pub fn remove(&mut self, order: TransferOrder, id: TransferId) {
        self.transfers.remove(&(order, id));
    }

    /// Returns the transfer whose part is to be sent now: the first in order among those that are
    /// ready, if the link has room for it.
    pub fn start_next(&mut self, now: BootInstant) -> Option<TransferId> {
        if self.idle_at > now + MAX_AHEAD {
            return None;
        }
        let is_ready = |it: &&mut PendingTransfer| it.ready_bytes.is_some();
        let ready = self.transfers.iter_mut().find(|(_, it)| is_ready(it));
        let ((_, id), transfer) = ready?;
        let (id, bytes) = (*id, transfer.ready_bytes.take().unwrap_or_default());
        transfer.remaining_bytes = (transfer.remaining_bytes - bytes as f64).max(0.0);
        self.record(bytes, now);
        Some(id)
    }

    /// Returns when [`start_next`](Self::start_next) has to be called next; `None` if no transfer is
    /// ready.
    pub fn next_start_at(&self, now: BootInstant) -> Option<BootInstant> {
        let is_any_ready = self.transfers.values().any(|it| it.ready_bytes.is_some());
        is_any_ready.then(|| self.idle_at.saturating_sub(MAX_AHEAD).max(now))
    }

    /// Returns how long a transfer in this order would wait until its first byte is sent.
    pub fn expected_wait(&self, order: TransferOrder, now: BootInstant) -> Duration {
        let ahead = self.transfers.iter().take_while(|((it, _), _)| *it <= order);
        let ahead_bytes: f64 = ahead.map(|(_, it)| it.remaining_bytes).sum();
        self.idle_at.saturating_since(now) + self.duration_of(ahead_bytes)
    }

    /// Returns for how long a transfer of the mean size keeps the link busy.
    pub fn mean_duration(&self) -> Duration {
        self.duration_of(self.mean_answer_bytes)
    }

    fn duration_of(&self, bytes: f64) -> Duration {
        Duration::try_from_secs_f64(bytes / self.bytes_per_s).unwrap_or(Duration::MAX)
    }
}
