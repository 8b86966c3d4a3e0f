//! Changes of a key's owner.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Change, ChangeKind, Hold, LogTime, Proof, RowWrite};

/// Change of the key's owner that took effect.
#[derive(Debug, Serialize)]
pub(crate) struct OwnerChange {
    pub(crate) fence: u64,
    /// The owner before, if the logs name one.
    pub(crate) from: Option<String>,
    pub(crate) to: String,
    /// When a node decided on it; unknown if the log of that node is missing.
    pub(crate) assigned_at: Option<LogTime>,
    pub(crate) assigned_by: Option<String>,
    /// The version of the row that it was written with, if the logs have the write.
    pub(crate) row_version: Option<u64>,
    pub(crate) first_granted_at: Option<LogTime>,
    pub(crate) proof: Option<Proof>,
}

/// The lines about one owner under one fencing token.
#[derive(Default)]
struct Ownership<'a> {
    assigned: Option<&'a Change>,
    first_hold: Option<&'a Hold>,
}

impl Ownership<'_> {
    fn written(&self) -> Option<RowWrite> {
        self.assigned.and_then(|it| it.kind.written())
    }

    fn began_at(&self) -> Option<LogTime> {
        let assigned_at = self.assigned.map(|it| it.time);
        assigned_at.or(self.first_hold.map(|it| it.granted_at))
    }

    /// Returns the lowest version of the row that can name the owner. Versions order the lines of
    /// several nodes, whatever their clocks.
    fn first_row_version(&self) -> Option<u64> {
        let assigned_on = self.assigned.and_then(|it| it.kind.based_on());
        let first_row = self.first_hold.and_then(|it| it.rows.first());
        assigned_on.map(|it| it.saturating_add(1)).or(first_row.map(|it| it.row_version))
    }

    fn has_taken_effect(&self) -> bool {
        self.first_hold.is_some() || self.written().is_some()
    }

    /// Returns the proof that the hold of `target` under this ownership had ended when the next one
    /// began.
    fn proof_of_end(&self, target: &str, next: &Self, changes: &[Change]) -> Option<Proof> {
        let versions = self.first_row_version()?..next.first_row_version()?;
        let mut last: Option<((u64, bool), &Change)> = None;
        for change in changes {
            let ChangeKind::HoldEnded { target: ended, based_on, written, .. } = &change.kind
            else {
                continue;
            };
            if ended != target || !versions.contains(based_on) {
                continue;
            }
            let rank = (*based_on, written.is_some());
            if last.is_none_or(|(last_rank, _)| last_rank <= rank) {
                last = Some((rank, change));
            }
        }
        let proof = Proof::new(last?.1, next.began_at()?)?;
        Some(proof.with_report(changes))
    }
}

impl OwnerChange {
    /// Lists the changes in the order of the fencing tokens, which no clock affects.
    pub(super) fn list(holds: &[Hold], changes: &[Change]) -> Vec<Self> {
        let mut ownerships: BTreeMap<(u64, &str), Ownership<'_>> = BTreeMap::new();
        for change in changes {
            let ChangeKind::KeysAssigned { target, fence, .. } = &change.kind else {
                continue;
            };
            let ownership = ownerships.entry((*fence, target)).or_default();
            // Several nodes may decide on the same change; only one of them writes it.
            if ownership.written().is_none() {
                ownership.assigned = Some(change);
            }
        }
        for hold in holds {
            let ownership = ownerships.entry((hold.fence, &hold.target)).or_default();
            ownership.first_hold.get_or_insert(hold);
        }
        let mut list = Vec::new();
        let mut before: Option<(&str, &Ownership<'_>)> = None;
        for ((fence, target), ownership) in &ownerships {
            if !ownership.has_taken_effect() {
                continue;
            }
            let from = before.replace((target, ownership));
            if from.is_some_and(|(from, _)| from == *target) {
                continue;
            }
            list.push(Self {
                fence: *fence,
                from: from.map(|(from, _)| from.to_owned()),
                to: (*target).to_owned(),
                assigned_at: ownership.assigned.map(|it| it.time),
                assigned_by: ownership.assigned.map(|it| it.node.clone()),
                row_version: ownership.written().map(|it| it.row_version),
                first_granted_at: ownership.first_hold.map(|it| it.granted_at),
                proof: from.and_then(|(from, it)| it.proof_of_end(from, ownership, changes)),
            });
        }
        list
    }
}
