//! Exchange of the quarantine with other nodes and the store.
//!
//! Load pattern: the repeats of a request that crashes targets come at any node, while the store is
//! down, nodes are cut off, or some or all of them have just restarted. Statuses tell all nodes of a
//! crash at once, and those that lack a request of the quarantine again; the row in the store outlasts
//! the restart of all nodes.

use galenastream_adapter::{Row, StoreError};
use galenastream_utils::BootInstant;
use galenastream_wire::{QuarantineRow, SharedRowKey, SuspectRecord};
use prost::{Message, bytes::Bytes};

use super::Effect;
use super::control_state::ControlState;

/// The write of the quarantine's row.
#[derive(Debug, Default)]
pub(super) struct QuarantineWrite {
    /// Whether a write is under way.
    is_pending: bool,
    /// The version of the quarantine whose records the known row has, and the version of that row.
    settled: Option<(u64, u64)>,
}

impl ControlState {
    /// Takes over what another node says of requests that crash targets.
    pub(super) fn merge_suspects(&self, suspects: &[SuspectRecord], now: BootInstant) {
        for record in suspects {
            self.quarantine.merge(record, now);
        }
    }

    /// Takes over the row of the quarantine. It is joined with what the node knows, so that also a row
    /// that was restored from an older copy does no harm.
    pub(super) fn apply_quarantine(&self, row: &Row, now: BootInstant) {
        let Some(value) = row.value.clone() else {
            log::warn!(event = "quarantine_row_removed", row_version = row.version; "");
            return;
        };
        match QuarantineRow::decode(value) {
            Ok(decoded) => self.merge_suspects(&decoded.records, now),
            Err(error) => log::warn!(event = "quarantine_row_malformed", reason:% = error; ""),
        }
    }

    /// Writes the quarantine to the store if its row lacks something.
    pub(super) fn write_quarantine(&mut self, is_planner: bool) {
        let can_write = self.reaches_store && self.rows_version > 0 && self.eras.is_settled();
        if !is_planner || !can_write || self.quarantine_write.is_pending {
            return;
        }
        let key = SharedRowKey::Quarantine.key();
        let known = self.rows.get(&key);
        let expected_version = known.map_or(0, |it| it.version);
        let versions = (self.quarantine.version(), expected_version);
        if self.quarantine_write.settled == Some(versions) {
            return;
        }
        let value = Bytes::from(self.quarantine.row().encode_to_vec());
        let known_value = known.and_then(|it| it.value.clone()).unwrap_or_default();
        if value == known_value {
            self.quarantine_write.settled = Some(versions);
            return;
        }
        self.quarantine_write.is_pending = true;
        self.effects.push(Effect::WriteQuarantine { expected_version, value });
    }

    pub(super) fn handle_quarantine_written(
        &mut self,
        value: Bytes,
        result: Result<u64, StoreError>,
        now: BootInstant,
    ) {
        self.quarantine_write.is_pending = false;
        match result {
            Ok(version) => {
                log::info!(event = "quarantine_written", row_version = version; "");
                let key = SharedRowKey::Quarantine.key();
                self.apply_rows(vec![Row { key, value: Some(value), version }], now);
            }
            Err(StoreError::Conflict { rows }) => self.apply_rows(rows, now),
            Err(error) => {
                log::warn!(event = "quarantine_write_failed", reason:% = error; "");
                self.set_store_reachable(false, now);
            }
        }
    }

    /// Handles an [`Effect::WriteQuarantine`] that was not carried out. It is requested again.
    pub fn handle_dropped_quarantine(&mut self) {
        self.quarantine_write.is_pending = false;
    }
}
