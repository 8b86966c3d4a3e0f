//! The eras of the store: what follows when it is restored from an older copy.
//!
//! Load pattern: the store loses the writes of some seconds, and gives out their versions again. The
//! lost rows may have moved keys, and targets may hold leases on them. So rows of a new era come into
//! force only when every lease on earlier rows has expired. Until then nodes serve on the rows that
//! they know, and no key moves.

use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, Row, RowWrite, StoreError, era_of, number_of};
use galenastream_ranges::{Assignment, LeaseTerms};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::{EraRow, SharedRowKey};
use prost::Message;

use super::Effect;
use super::control_state::ControlState;

/// Margin for the drift between the clocks of this node and of those that granted leases.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// The era of a store that was never restored.
const FIRST_ERA: u64 = 1;

/// Fencing tokens of an era are above this multiple of it, and thus above all that were issued on
/// lost rows.
const FENCES_PER_ERA: u64 = 1 << 32;

/// The eras of the store, as this process knows them. All eras are 0 if the store names none.
#[derive(Debug, Default)]
pub(super) struct StoreEras {
    /// The newest era that the store or another node has named.
    current: u64,
    /// When this process learned of the current era, which is after the store was restored.
    current_since: BootInstant,
    /// The era whose rows are in force.
    in_force: u64,
    /// Rows of the current era that are not in force yet, by key.
    waiting_rows: FastMap<String, Row>,
    /// The era in which this process has read all rows from the store.
    read_era: u64,
    /// The version of the settings tree's row when the current era was read first.
    restored_tree_version: u64,
    /// Whether the deployment has just started for the first time, so that there are no leases. Only
    /// in the first era does an empty table prove that nothing was lost from it.
    is_first: bool,
    is_settlement_pending: bool,
    /// Whether another writer has left a row of the era that cannot be right.
    is_row_malformed: bool,
}

impl StoreEras {
    /// Whether the rows of the current era are in force.
    pub(super) const fn is_settled(&self) -> bool {
        self.current == self.in_force
    }

    pub(super) const fn in_force(&self) -> u64 {
        self.in_force
    }
}

impl ControlState {
    /// Records an era that the store names.
    pub(super) fn record_era(&mut self, era: u64, now: BootInstant) {
        if era <= self.eras.current {
            return;
        }
        let earlier = self.eras.current;
        log::info!(event = "store_era", era, earlier, in_force = self.eras.in_force; "");
        if earlier > 0 {
            // The rows of this node may be among those that were lost.
            self.effects.push(Effect::AnnounceNode);
            self.restore_leaves();
        }
        self.eras = StoreEras {
            current: era,
            current_since: now,
            in_force: self.eras.in_force,
            ..StoreEras::default()
        };
    }

    /// Records that this process has read all rows of an era from the store.
    pub(super) fn record_full_read(&mut self, era: u64) {
        if era != self.eras.current || self.eras.read_era == era {
            return;
        }
        self.eras.read_era = era;
        self.eras.restored_tree_version = self.waiting_version(&SharedRowKey::SettingsTree.key());
        self.eras.is_first = self.settings.is_first_start
            && era == FIRST_ERA
            && self.eras.in_force == 0
            && self.eras.waiting_rows.is_empty()
            && !self.rows.contains_key(&SharedRowKey::Era.key());
    }

    /// Keeps a row back if it belongs to an era that is not in force. Returns whether it does.
    pub(super) fn hold_back(&mut self, row: &Row) -> bool {
        let is_gated = matches!(
            SharedRowKey::parse(&row.key),
            Some(SharedRowKey::Assignment(_) | SharedRowKey::SettingsTree)
        );
        if !is_gated || era_of(row.version) <= self.eras.in_force {
            return false;
        }
        if row.version > self.waiting_version(&row.key) {
            self.eras.waiting_rows.insert(row.key.clone(), row.clone());
        }
        true
    }

    /// A fencing token that is not below any that was issued on the rows of earlier eras.
    pub(super) const fn highest_earlier_fence(&self) -> u64 {
        self.eras.current.saturating_mul(FENCES_PER_ERA)
    }

    /// Whether keys without a row may be assigned: a row may have been lost, or removed, that
    /// granted leases until now.
    pub(super) fn may_assign_without_row(&self, now: BootInstant) -> bool {
        self.settings.is_first_start || now >= self.lease_terms.all_leases_end(self.started_at)
    }

    /// Puts the rows of an era in force that every lease on earlier rows has ended for. Returns the
    /// rows that were kept back until now.
    pub(super) fn apply_era_row(&mut self, row: &Row) -> Vec<Row> {
        let Some(value) = row.value.clone() else {
            return Vec::new();
        };
        let highest = era_of(row.version);
        let era = match EraRow::decode(value).map(|it| it.era) {
            // The row is written in the era that it names, and may be restored in a later one.
            Ok(era) if era <= highest => era,
            Ok(era) => {
                log::warn!(event = "era_row_malformed", era, highest; "");
                self.eras.is_row_malformed = true;
                return Vec::new();
            }
            Err(error) => {
                log::warn!(event = "era_row_malformed", reason:% = error; "");
                self.eras.is_row_malformed = true;
                return Vec::new();
            }
        };
        self.eras.is_row_malformed = false;
        if era <= self.eras.in_force {
            return Vec::new();
        }
        log::info!(event = "store_era_in_force", era, earlier = self.eras.in_force; "");
        self.eras.in_force = era;
        // Confirmations of rows of an earlier era do not confirm those of this one.
        self.confirmed_at = None;
        let waiting = std::mem::take(&mut self.eras.waiting_rows).into_values();
        waiting.collect()
    }

    /// The version that the row with the era in force must have for a write of an assignment to
    /// succeed; `None` if the store names no eras. A write that was planned in an earlier era then
    /// fails, even if the version of its own row was given out again.
    pub(super) fn expected_era_version(&self) -> Option<u64> {
        (self.eras.current > 0).then(|| self.era_row_version())
    }

    /// Once every lease on rows of earlier eras has expired, requests the write that puts the
    /// current era in force: with new fencing tokens, and with the settings tree if that was lost.
    pub(super) fn settle_era(&mut self, now: BootInstant) {
        self.repair_era_row(now);
        let eras = &self.eras;
        let leases_end = self.known_terms().all_leases_end(eras.current_since) + CLOCK_MARGIN;
        let is_due = eras.is_first || now >= leases_end;
        let is_ready = is_due && eras.read_era == eras.current && !eras.is_settlement_pending;
        if eras.is_settled() || !is_ready || !self.is_planner(now) {
            return;
        }
        let mut expected = Vec::new();
        let mut writes = Vec::new();
        let mut put = |key: String, version: u64, value: Bytes| {
            expected.push(ExpectedRow { key: key.clone(), version });
            writes.push(RowWrite::Put { key, value });
        };
        for service in self.services_with_keys() {
            let key = SharedRowKey::Assignment(&service).key();
            let assignment = self.reissued_assignment(&service);
            let value = Bytes::from(assignment.encode_row());
            put(key.clone(), self.waiting_version(&key), value);
        }
        if let Some(tree) = self.lost_tree() {
            put(SharedRowKey::SettingsTree.key(), self.eras.restored_tree_version, tree);
        }
        let era = self.eras.current;
        let value = Bytes::from(EraRow { era }.encode_to_vec());
        put(SharedRowKey::Era.key(), self.era_row_version(), value);
        log::info!(event = "store_era_settled", era, rows = writes.len(); "");
        self.eras.is_settlement_pending = true;
        self.effects.push(Effect::Settle { expected, writes });
    }

    /// Writes the row of the era in force again if another writer has replaced it: nodes that start take
    /// the era from there.
    fn repair_era_row(&mut self, now: BootInstant) {
        let is_needed = self.eras.is_row_malformed && self.eras.is_settled();
        if !is_needed || self.eras.is_settlement_pending || !self.is_planner(now) {
            return;
        }
        let key = SharedRowKey::Era.key();
        let expected = vec![ExpectedRow { key: key.clone(), version: self.era_row_version() }];
        let value = Bytes::from(EraRow { era: self.eras.in_force }.encode_to_vec());
        self.eras.is_settlement_pending = true;
        let writes = vec![RowWrite::Put { key, value }];
        self.effects.push(Effect::Settle { expected, writes });
    }

    /// Handles the end of the write that [`Self::settle_era`] requested. It is planned again if it
    /// failed.
    pub(super) fn handle_settlement(&mut self, result: Result<u64, StoreError>, now: BootInstant) {
        self.eras.is_settlement_pending = false;
        match result {
            // The rows arrive with the watch.
            Ok(_) => {}
            Err(StoreError::Conflict { rows }) => self.apply_rows(rows, now),
            Err(error) => {
                log::warn!(event = "settlement_failed", reason:% = error; "");
                self.set_store_reachable(false, now);
            }
        }
    }

    /// Handles an [`Effect::Settle`] that was not carried out. The write is planned again.
    pub(super) const fn handle_dropped_settlement(&mut self) {
        self.eras.is_settlement_pending = false;
    }

    /// The services with an assignment in force or in the current era.
    fn services_with_keys(&self) -> Vec<String> {
        let known = self.assignments.iter().filter(|(_, it)| it.version > 0).map(|(name, _)| name);
        let mut services: Vec<String> = known.cloned().collect();
        for key in self.eras.waiting_rows.keys() {
            if let Some(SharedRowKey::Assignment(service)) = SharedRowKey::parse(key)
                && !services.iter().any(|it| it == service)
            {
                services.push(service.to_owned());
            }
        }
        services
    }

    /// The newest known assignment of a service, with fencing tokens of the current era.
    fn reissued_assignment(&self, service: &str) -> Assignment {
        let key = SharedRowKey::Assignment(service).key();
        let waiting = self.eras.waiting_rows.get(&key).and_then(|it| it.value.as_deref());
        let restored = waiting.and_then(|it| Assignment::decode_row(it).ok());
        let known = self.assignments.get(service).filter(|it| it.version > 0);
        let restored_fence = restored.as_ref().map_or(0, Assignment::highest_fence);
        let newest = known.map(|it| Assignment::clone(&it.assignment)).or(restored);
        let min_fence = restored_fence.max(self.highest_earlier_fence());
        newest.unwrap_or_default().reissued(min_fence)
    }

    /// The settings tree that this node knows, if the store has lost it and has got no other since.
    fn lost_tree(&self) -> Option<Bytes> {
        let key = SharedRowKey::SettingsTree.key();
        let known = self.rows.get(&key)?;
        let restored = self.eras.restored_tree_version;
        let is_lost = number_of(known.version) > number_of(restored);
        let is_untouched = self.waiting_version(&key) == restored;
        known.value.clone().filter(|_| is_lost && is_untouched)
    }

    /// The longest limits of leases on any known row, and in the settings of this process.
    fn known_terms(&self) -> LeaseTerms {
        let in_force = self.assignments.values().filter(|it| it.version > 0);
        let in_force = in_force.map(|it| it.assignment.granted_terms(self.lease_terms));
        let waiting = self.eras.waiting_rows.values().filter_map(|it| {
            let Some(SharedRowKey::Assignment(_)) = SharedRowKey::parse(&it.key) else {
                return None;
            };
            let restored = Assignment::decode_row(it.value.as_deref()?).ok()?;
            Some(restored.granted_terms(self.lease_terms))
        });
        in_force.chain(waiting).fold(self.lease_terms, LeaseTerms::max)
    }

    fn waiting_version(&self, key: &str) -> u64 {
        self.eras.waiting_rows.get(key).map_or(0, |it| it.version)
    }

    /// The version of the era's row in the current era; 0 if the row does not exist there.
    fn era_row_version(&self) -> u64 {
        let version = self.rows.get(&SharedRowKey::Era.key()).map_or(0, |it| it.version);
        if era_of(version) == self.eras.current { version } else { 0 }
    }
}
