//! History of a key.

use serde::Serialize;

use super::{
    Change, Hold, LogTime, NodeLog, Overlap, OwnerChange, UnknownGrants,
    change::retain_relevant_cancels, fold::Fold,
};

/// Who held a key, by the logs of nodes.
#[derive(Debug, Serialize)]
pub(crate) struct KeyHistory {
    pub(crate) service: String,
    pub(crate) key: u16,
    /// By the time of the first grant.
    pub(crate) holds: Vec<Hold>,
    /// By time.
    pub(crate) changes: Vec<Change>,
    /// Renewals of leases whose keys the logs do not name.
    pub(crate) unknown_grants: Vec<UnknownGrants>,
    /// By fencing token.
    pub(crate) owner_changes: Vec<OwnerChange>,
    pub(crate) overlaps: Vec<Overlap>,
}

impl KeyHistory {
    /// Folds the lines of logs.
    pub(crate) fn new(service: &str, key: u16, logs: &[NodeLog]) -> Self {
        let mut fold = Fold::new(service, key);
        for line in NodeLog::in_order(logs) {
            fold.add(line);
        }
        Self::from_fold(service, key, fold)
    }

    fn from_fold(service: &str, key: u16, fold: Fold<'_>) -> Self {
        let (mut holds, mut changes, unknown_grants) = fold.close();
        holds.sort_by_key(|it| it.granted_at);
        changes.sort_by_key(|it| it.time);
        retain_relevant_cancels(&mut changes);
        for hold in &mut holds {
            hold.end_at_release(&changes);
        }
        let owner_changes = OwnerChange::list(&holds, &changes);
        let overlaps = Overlap::list(&holds, &owner_changes);
        let service = service.to_owned();
        Self { service, key, holds, changes, unknown_grants, owner_changes, overlaps }
    }

    /// Reduces the history of the logs to the leases that were running at an instant, as they were
    /// then, with the changes that made their targets the owners.
    pub(crate) fn at(mut self, logs: &[NodeLog], instant: LogTime) -> Self {
        let mut fold = Fold::new(&self.service, self.key);
        for line in NodeLog::in_order(logs).filter(|it| it.time <= instant) {
            fold.add(line);
        }
        // Later lines only tell that a hold had ended by then.
        let running = |it: &Hold| it.granted_at <= instant && instant < it.ends_at();
        let names: Vec<_> = self.holds.iter().filter(|it| running(it)).map(Hold::name).collect();
        let mut then = Self::from_fold(&self.service, self.key, fold);
        then.holds.retain(|it| running(it) && names.contains(&it.name()));
        then.unknown_grants.retain(|it| instant < it.lease_ends_at);
        self.holds = then.holds;
        self.unknown_grants = then.unknown_grants;
        self.overlaps.retain(|it| it.from <= instant && instant < it.until);
        self.changes.clear();
        let all_changes = std::mem::take(&mut self.owner_changes);
        for change in all_changes.into_iter().rev() {
            // Of several changes in favour of a target, the last one before its hold counts.
            let is_behind = |it: &Hold| it.target == change.to && change.fence <= it.fence;
            let is_known = self.owner_changes.iter().any(|it| it.to == change.to);
            if self.holds.iter().any(is_behind) && !is_known {
                self.owner_changes.insert(0, change);
            }
        }
        self
    }

    /// Whether no line of the logs concerns the key.
    pub(crate) fn is_empty(&self) -> bool {
        self.holds.is_empty() && self.changes.is_empty() && self.unknown_grants.is_empty()
    }
}
