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
use galenastream_wire::{LeaveRecord, LeaveRow, SharedRowKey};
use prost::{Message, bytes::Bytes};
use tokio::sync::oneshot;

use super::{Effect, HeartbeatAnswer, control_state::ControlState};

/// How long an acknowledgement waits for the row. Targets wait for 1 s.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(600);

/// Delay before a write is repeated. Also a conflict needs it: a row of an earlier era of the store
/// conflicts until the table is read again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The leaves that this process has acknowledged, or is about to.
#[derive(Debug, Default)]
pub(super) struct TargetLeaves {
    /// The row as it has to be.
    row: LeaveRow,
    /// The row as the store has it; `None` if that is not known.
    stored: Option<LeaveRow>,
    is_write_pending: bool,
    /// When the row may be written.
    write_at: BootInstant,
    /// Until when acknowledgements wait for the row.
    wait_until: BootInstant,
    /// The deregistrations to acknowledge.
    answers: Vec<oneshot::Sender<HeartbeatAnswer>>,
}

impl TargetLeaves {
    fn is_written(&self) -> bool {
        self.row.leaves.is_empty() || self.stored.as_ref() == Some(&self.row)
    }
}

impl ControlState {
    /// Records that a target beside this node leaves. `born_ms` is `None` if only its id is known.
    pub(super) fn record_leave(&mut self, target_id: &str, born_ms: Option<u64>, now: BootInstant) {
        let leave = LeaveRecord { target_id: target_id.to_owned(), born_ms };
        if self.leaves.row.leaves.contains(&leave) {
            return;
        }
        self.leaves.row.add(leave);
        self.leaves.wait_until = match self.reaches_store {
            true => now + MAX_ACKNOWLEDGEMENT_DELAY,
            false => now,
        };
    }

    /// Acknowledges a deregistration once the leave has been written, or that takes too long.
    pub(super) fn acknowledge_leave(&mut self, answer: oneshot::Sender<HeartbeatAnswer>) {
        self.leaves.answers.push(answer);
    }

    /// Whether the acknowledgement of a leave waits for its row.
    pub(super) fn is_leave_unsettled(&self, now: BootInstant) -> bool {
        !self.leaves.is_written() && now < self.leaves.wait_until
    }

    /// Requests the write of the leaves, and sends the acknowledgements that need not wait any longer.
    pub(super) fn settle_leaves(&mut self, now: BootInstant) {
        let key = SharedRowKey::Leave(&self.node).key();
        let expected_version = self.rows.get(&key).map_or(0, |it| it.version);
        let is_unsettled = self.is_leave_unsettled(now);
        let leaves = &mut self.leaves;
        if !is_unsettled {
            for answer in leaves.answers.drain(..) {
                super::heartbeats::acknowledge(answer);
            }
        }
        let is_due = !leaves.is_written() && !leaves.is_write_pending && now >= leaves.write_at;
        if is_due && self.reaches_store {
            leaves.is_write_pending = true;
            let value = Bytes::from(leaves.row.encode_to_vec());
            self.effects.push(Effect::WriteLeave { key, expected_version, value });
        }
    }

    /// Whether the store has yet to be told of a leave.
    pub fn has_leaves_to_write(&self) -> bool {
        !self.leaves.is_written()
    }

    /// Handles the end of a write that [`Self::settle_leaves`] requested. It is requested again if it
    /// failed.
    pub(super) fn handle_leave_written(
        &mut self,
        value: Bytes,
        result: Result<u64, StoreError>,
        now: BootInstant,
    ) {
        self.leaves.is_write_pending = false;
        if result.is_err() {
            self.leaves.write_at = now + RETRY_DELAY;
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
        self.leaves.is_write_pending = false;
    }

    /// Takes over the row, with the leaves that earlier processes have acknowledged.
    pub(super) fn apply_leave_row(&mut self, row: &Row) {
        let stored = match row.value.clone().map(LeaveRow::decode) {
            Some(Ok(decoded)) => decoded,
            Some(Err(error)) => {
                log::warn!(event = "leave_row_malformed", reason:% = error; "");
                LeaveRow::default()
            }
            None => LeaveRow::default(),
        };
        // The leaves of this process are newer than those in the row.
        let own = std::mem::replace(&mut self.leaves.row, stored.clone());
        for leave in own.leaves {
            self.leaves.row.add(leave);
        }
        self.leaves.stored = Some(stored);
        self.apply_stored_leave();
    }

    /// Makes the local target leave if a row says that it does. Its leave was acknowledged before this
    /// process started, so its drain period counts as over.
    pub(super) fn apply_stored_leave(&mut self) {
        let drain_time = Duration::from_millis(self.settings.bounds.drain_ms);
        let since = self.started_at.saturating_sub(drain_time);
        let Some(local) = &mut self.local else {
            return;
        };
        let TargetIncarnation { id, born_ms } = &local.incarnation;
        if local.draining_since.is_some() || !self.leaves.row.names(id, *born_ms) {
            return;
        }
        log::info!(event = "target_leaves", target:% = local.incarnation, how = "recorded"; "");
        local.draining_since = Some(since);
    }

    /// Writes the leaves again, since the store may have lost them.
    pub(super) fn restore_leaves(&mut self) {
        self.leaves.stored = None;
    }
}
