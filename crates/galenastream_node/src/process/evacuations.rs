//! The evacuations of data centres, as far as this node knows them.
//!
//! Load pattern: operators empty a data centre, often while it is in trouble, and take it back while
//! the others are full. A node may be cut off from the store, start meanwhile, or hear late.

use std::time::Duration;

use galenastream_adapter::{EvacuationChange, era_of};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::EvacuationRecord;

/// The maximum number of data centres of which a node remembers an evacuation.
const MAX_DATA_CENTRES: usize = 64;

/// How long an evacuation goes on that a store restored from an older copy does not show. Operators
/// write their rows again after a restore.
const RESTORE_GRACE: Duration = Duration::from_millis(3_000);

/// The evacuations of data centres, as far as this node knows them.
///
/// What is known of a data centre is the newest change of its row, whoever told it. So changes may
/// arrive late, repeatedly and in any order.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    records: FastMap<String, Evacuation>,
}

/// The newest change of one evacuation.
#[derive(Debug)]
struct Evacuation {
    row_version: u64,
    is_requested: bool,
    /// When this process learnt of the request or of its end.
    changed_at: BootInstant,
    /// Since when a restored store has not shown the row, and the version of the read.
    missing_since: Option<(BootInstant, u64)>,
}

/// Who told of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvacuationSource {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

impl Evacuations {
    /// Records the changes that a watch has shown.
    pub(super) fn record_changes(
        &mut self,
        changes: &[EvacuationChange],
        source: EvacuationSource,
        now: BootInstant,
    ) {
        for change in changes {
            self.record(change, source, now);
        }
    }

    /// Records what a full read of the table has shown as of `read_version`: an evacuation that it
    /// does not show has ended, unless a later change is known.
    pub(super) fn record_read(
        &mut self,
        shown: &[EvacuationChange],
        read_version: u64,
        now: BootInstant,
    ) {
        self.record_changes(shown, EvacuationSource::Store, now);
        for (data_centre, evacuation) in &mut self.records {
            let is_shown = shown.iter().any(|it| it.data_centre == *data_centre);
            if is_shown || !evacuation.is_requested || evacuation.row_version >= read_version {
                continue;
            }
            if era_of(evacuation.row_version) == era_of(read_version) {
                evacuation.end(data_centre, read_version, "not in the store", now);
            } else {
                evacuation.missing_since.get_or_insert((now, read_version));
            }
        }
    }

    /// Merges what another node knows.
    pub(super) fn merge(&mut self, records: &[EvacuationRecord], now: BootInstant) {
        for record in records {
            let change = EvacuationChange {
                data_centre: record.data_centre.clone(),
                row_version: record.row_version,
                is_requested: record.is_requested,
            };
            self.record(&change, EvacuationSource::Peer, now);
        }
    }

    /// Ends the evacuations that a restored store has not shown for [`RESTORE_GRACE`].
    pub(super) fn settle(&mut self, now: BootInstant) {
        for (data_centre, evacuation) in &mut self.records {
            let Some((since, read_version)) = evacuation.missing_since else {
                continue;
            };
            if now.saturating_since(since) >= RESTORE_GRACE {
                evacuation.end(data_centre, read_version, "not in the restored store", now);
            }
        }
    }

    /// Whether nothing may be sent to the targets of a data centre.
    pub(super) fn is_requested(&self, data_centre: &str) -> bool {
        self.records.get(data_centre).is_some_and(|it| it.is_requested)
    }

    /// When this process learnt that the last evacuation of a data centre had ended; `None` if it
    /// lasts, or if there was none.
    pub(super) fn ended_at(&self, data_centre: &str) -> Option<BootInstant> {
        let evacuation = self.records.get(data_centre)?;
        (!evacuation.is_requested).then_some(evacuation.changed_at)
    }

    /// The data centres that are evacuated, and for how long this process has known it, by name.
    pub(super) fn in_force(&self, now: BootInstant) -> Vec<(String, Duration)> {
        let requested = self.records.iter().filter(|(_, it)| it.is_requested);
        let mut in_force: Vec<_> = requested
            .map(|(data_centre, it)| (data_centre.clone(), now.saturating_since(it.changed_at)))
            .collect();
        in_force.sort();
        in_force
    }

    /// What other nodes are told, by name of the data centre.
    pub(super) fn to_records(&self) -> Vec<EvacuationRecord> {
        let mut records: Vec<_> = self
            .records
            .iter()
            .map(|(data_centre, it)| EvacuationRecord {
                data_centre: data_centre.clone(),
                row_version: it.row_version,
                is_requested: it.is_requested,
            })
            .collect();
        records.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        records
    }

    fn record(&mut self, change: &EvacuationChange, source: EvacuationSource, now: BootInstant) {
        let is_full = self.records.len() >= MAX_DATA_CENTRES;
        match self.records.get_mut(&change.data_centre) {
            Some(known) if change.row_version < known.row_version => return,
            Some(known) if change.row_version == known.row_version => {
                // The row is there again, or another node has seen it in the restored store.
                if source == EvacuationSource::Store {
                    known.missing_since = None;
                }
                return;
            }
            None if is_full => {
                let data_centre = change.data_centre.as_str();
                log::warn!(event = "evacuation_ignored", data_centre, reason = "too many"; "");
                return;
            }
            Some(_) | None => {}
        }
        let was_requested = self.is_requested(&change.data_centre);
        let known = self.records.get(&change.data_centre);
        let is_changed = was_requested != change.is_requested;
        let changed_at = match known {
            // Another evacuation may have come and gone since.
            Some(_) if !change.is_requested => now,
            Some(known) => known.changed_at,
            // It ended before this process knew of it.
            None if source == EvacuationSource::Peer => BootInstant::default(),
            None => now,
        };
        let evacuation = Evacuation {
            row_version: change.row_version,
            is_requested: change.is_requested,
            changed_at: if is_changed { now } else { changed_at },
            missing_since: None,
        };
        self.records.insert(change.data_centre.clone(), evacuation);
        if is_changed {
            let event = match change.is_requested {
                true => "evacuation_requested",
                false => "evacuation_ended",
            };
            log::info!(
                event,
                data_centre = change.data_centre.as_str(),
                row_version = change.row_version,
                source = source.as_str();
                ""
            );
        }
    }
}

impl Evacuation {
    fn end(&mut self, data_centre: &str, row_version: u64, reason: &str, now: BootInstant) {
        self.is_requested = false;
        self.row_version = self.row_version.max(row_version);
        self.changed_at = now;
        self.missing_since = None;
        log::info!(event = "evacuation_ended", data_centre, row_version, source = reason; "");
    }
}

impl EvacuationSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
