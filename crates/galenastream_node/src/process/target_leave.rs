//! The leave of the local target, which outlasts the process that acknowledged it.
//!
//! Load pattern: nodes restart right after they have acknowledged a leave, one or all of them. The
//! target serves on for seconds and says nothing more, or only reports from before its leave arrive,
//! late. So the leave is written to a row before it is acknowledged. While the store is away, other
//! nodes remember it.

use std::time::Duration;

use galenastream_adapter::{Row, StoreError};
use galenastream_ranges::TargetIncarnation;
use galenastream_utils::BootInstant;
use galenastream_wire::{LeaveRow, SharedRowKey};
use prost::{Message, bytes::Bytes};
use tokio::sync::oneshot;

use super::{Effect, HeartbeatAnswer, control_state::ControlState};

/// How long an acknowledgement waits for the row. Targets wait for 1 s.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(600);

/// Delay before a write is repeated. Also a conflict needs it: a row of an earlier era of the store
/// conflicts until the table is read again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The leave that this process has acknowledged last, or is about to.
#[derive(Debug)]
pub(super) struct TargetLeave {
    row: LeaveRow,
    write: LeaveWrite,
    /// When the row may be written.
    write_at: BootInstant,
    /// Until when acknowledgements wait for the row.
    wait_until: BootInstant,
    /// The deregistrations to acknowledge.
    answers: Vec<oneshot::Sender<HeartbeatAnswer>>,
}

/// The state of the write of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaveWrite {
    Wanted,
    UnderWay,
    Done,
}

impl ControlState {
    /// Records that a target beside this node leaves. `born_ms` is `None` if only its id is known.
    pub(super) fn record_leave(&mut self, target_id: &str, born_ms: Option<u64>, now: BootInstant) {
        let row = LeaveRow { target_id: target_id.to_owned(), born_ms };
        if self.leave.as_ref().is_some_and(|it| it.row == row) {
            return;
        }
        let wait_until = match self.reaches_store {
            true => now + MAX_ACKNOWLEDGEMENT_DELAY,
            false => now,
        };
        let write = match self.stored_leave.as_ref() == Some(&row) {
            true => LeaveWrite::Done,
            false => LeaveWrite::Wanted,
        };
        let answers = self.leave.take().map_or_else(Vec::new, |it| it.answers);
        self.leave = Some(TargetLeave { row, write, write_at: now, wait_until, answers });
    }

    /// Acknowledges a deregistration once the leave has been written, or that takes too long.
    pub(super) fn acknowledge_leave(&mut self, answer: oneshot::Sender<HeartbeatAnswer>) {
        if let Some(leave) = &mut self.leave {
            leave.answers.push(answer);
        }
    }

    /// Whether the acknowledgement of a leave waits for its row.
    pub(super) fn is_leave_unsettled(&self, now: BootInstant) -> bool {
        let is_unsettled = |it: &TargetLeave| it.write != LeaveWrite::Done && now < it.wait_until;
        self.leave.as_ref().is_some_and(is_unsettled)
    }

    /// Requests the write of a leave, and sends the acknowledgements that need not wait any longer.
    pub(super) fn settle_leave(&mut self, now: BootInstant) {
        let key = SharedRowKey::Leave(&self.node).key();
        let expected_version = self.rows.get(&key).map_or(0, |it| it.version);
        let is_unsettled = self.is_leave_unsettled(now);
        let Some(leave) = &mut self.leave else {
            return;
        };
        if !is_unsettled {
            for answer in leave.answers.drain(..) {
                super::heartbeats::acknowledge(answer);
            }
        }
        if leave.write == LeaveWrite::Wanted && now >= leave.write_at && self.reaches_store {
            leave.write = LeaveWrite::UnderWay;
            let value = Bytes::from(leave.row.encode_to_vec());
            self.effects.push(Effect::WriteLeave { key, expected_version, value });
        }
    }

    /// Handles the end of a write that [`Self::settle_leave`] requested. It is requested again if it
    /// failed.
    pub(super) fn handle_leave_written(
        &mut self,
        value: Bytes,
        result: Result<u64, StoreError>,
        now: BootInstant,
    ) {
        let is_current = |it: &TargetLeave| it.row.encode_to_vec() == value;
        if let Some(leave) = self.leave.as_mut().filter(|it| is_current(it)) {
            leave.write = match &result {
                Ok(_) => LeaveWrite::Done,
                Err(_) => LeaveWrite::Wanted,
            };
            leave.write_at = now + RETRY_DELAY;
        }
        match result {
            Ok(version) => {
                let key = SharedRowKey::Leave(&self.node).key();
                self.apply_rows(vec![Row { key, value: Some(value), version }], now);
            }
            Err(StoreError::Conflict { rows }) => self.apply_rows(rows, now),
            Err(error) => {
                log::warn!(event = "leave_not_written", reason:% = error; "");
                self.set_store_reachable(false, now);
            }
        }
    }

    /// Handles an [`Effect::WriteLeave`] that was not carried out. It is requested again.
    pub(super) const fn handle_dropped_leave(&mut self) {
        if let Some(leave) = &mut self.leave {
            leave.write = LeaveWrite::Wanted;
        }
    }

    /// Takes over the row of a leave that an earlier process has acknowledged.
    pub(super) fn apply_leave_row(&mut self, row: &Row) {
        self.stored_leave = match row.value.clone().map(LeaveRow::decode) {
            Some(Ok(decoded)) => Some(decoded),
            Some(Err(error)) => {
                log::warn!(event = "leave_row_malformed", reason:% = error; "");
                return;
            }
            None => None,
        };
        self.apply_stored_leave();
    }

    /// Makes the local target leave if a row says that it does. Its leave was acknowledged before this
    /// process started, so its drain period counts as over.
    pub(super) fn apply_stored_leave(&mut self) {
        let drain_time = Duration::from_millis(self.settings.bounds.drain_ms);
        let since = self.started_at.saturating_sub(drain_time);
        let (Some(local), Some(stored)) = (&mut self.local, &self.stored_leave) else {
            return;
        };
        let TargetIncarnation { id, born_ms } = &local.incarnation;
        if local.draining_since.is_some() || !stored.names(id, *born_ms) {
            return;
        }
        log::info!(event = "target_leaves", target:% = local.incarnation, how = "recorded"; "");
        local.draining_since = Some(since);
    }

    /// Writes the leave again, since the store may have lost it.
    pub(super) const fn restore_leave(&mut self) {
        if let Some(leave) = &mut self.leave {
            leave.write = LeaveWrite::Wanted;
        }
    }
}
