//! Ownership of the keys of a service.

use std::sync::Arc;

use crate::{KeyRange, LeaseTerms, Owner, TargetIncarnation, TermsStatement};

/// Ownership of every key of a service, as adjacent ranges in ascending order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    entries: Vec<RangeEntry>,
    highest_fence: u64,
    terms: Option<LeaseTerms>,
    statement: TermsStatement,
}

/// A range of keys with the same owners, fencing token and handover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeEntry {
    /// The keys.
    pub range: KeyRange,
    /// The ownership state of the range.
    pub holding: Holding,
    /// The fencing token; higher than the tokens of all earlier owners of these keys.
    pub fence: u64,
    /// The handover token from the release by the last owner; empty if there is none.
    pub handover: String,
}

/// The ownership state of a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holding {
    /// No incarnation owns the range.
    Free,
    /// The owner may be granted leases on the range.
    Owned(Owner),
    /// The owner may still hold a lease, but is not granted any further one.
    Leaving {
        /// The owner that has to release the range.
        from: Owner,
        /// The next owner, if it is chosen already.
        to: Option<Owner>,
        /// The version of the row that the beginning of the move was planned on. Only one write can
        /// follow a version, so it tells this departure from all others of the same keys. 0 if the
        /// writer did not record it.
        departure: u64,
    },
}

impl Default for Assignment {
    fn default() -> Self {
        Self::new()
    }
}

impl Assignment {
    /// Creates an assignment in which all keys are free.
    pub fn new() -> Self {
        let entry = RangeEntry {
            range: KeyRange::ALL,
            holding: Holding::Free,
            fence: 0,
            handover: String::new(),
        };
        let statement = TermsStatement::Unrecorded;
        Self { entries: vec![entry], highest_fence: 0, terms: None, statement }
    }

    /// Issues only fencing tokens above `fence`.
    #[must_use]
    pub fn with_fences_above(self, fence: u64) -> Self {
        Self { highest_fence: self.highest_fence.max(fence), ..self }
    }

    pub(crate) fn from_entries(
        entries: Vec<RangeEntry>,
        highest_fence: u64,
        terms: Option<LeaseTerms>,
        statement: TermsStatement,
    ) -> Self {
        Self { entries, highest_fence, terms, statement }
    }

    /// Returns the limits that every lease on this row keeps; `None` if no writer has stated them.
    /// Leases on earlier rows are another matter, see [`terms_statement`](Self::terms_statement).
    pub const fn terms(&self) -> Option<LeaseTerms> {
        self.terms
    }

    /// Returns which leases keep the limits in this row.
    pub const fn terms_statement(&self) -> TermsStatement {
        self.statement
    }

    /// Returns the limits of new leases on this row, for a node whose own ones are `own`.
    pub fn grant_terms(&self, own: LeaseTerms) -> LeaseTerms {
        // Others count on the limits in the row; the own ones also limit what the target takes.
        self.terms.map_or_else(
            || own.min(LeaseTerms::UNSTATED),
            |it| LeaseTerms::new(it.row_validity, it.max_lease.min(own.max_lease)),
        )
    }

    /// Returns limits that all leases keep that were granted on this row or an earlier one, for a
    /// process whose own limits are `own`.
    pub fn granted_terms(&self, own: LeaseTerms) -> LeaseTerms {
        match (self.statement, self.terms) {
            (TermsStatement::AllRows, Some(terms)) => terms,
            (_, terms) => terms.unwrap_or(own).max(own).max(LeaseTerms::UNSTATED),
        }
    }

    /// Raises the limits of leases on this row to `terms` where they are shorter. They are never
    /// lowered, so that they hold for leases on earlier rows too that state limits.
    pub fn raise_terms(&mut self, terms: LeaseTerms) {
        self.terms = Some(self.terms.map_or(terms, |it| it.max(terms)));
    }

    /// States, if nobody has, that leases keep the limits from the row on that follows `row_version`.
    pub fn state_terms_since(&mut self, row_version: u64) {
        if self.terms.is_some() && self.statement == TermsStatement::Unrecorded {
            self.statement = TermsStatement::Since(row_version);
        }
    }

    /// States that leases on all earlier rows keep the limits too, or have ended.
    pub const fn state_terms_of_all_rows(&mut self) {
        if self.terms.is_some() {
            self.statement = TermsStatement::AllRows;
        }
    }

    /// Returns the entries in ascending order of their keys.
    pub fn entries(&self) -> &[RangeEntry] {
        &self.entries
    }

    /// Returns the highest fencing token that was ever issued.
    pub const fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// Returns the entry whose range contains `key`.
    pub fn entry_of(&self, key: u16) -> &RangeEntry {
        let index = self.entries.partition_point(|it| it.range.last < key);
        &self.entries[index.min(self.entries.len() - 1)]
    }

    /// Returns the entries that have keys of a range, in ascending order.
    pub fn entries_in(&self, range: KeyRange) -> impl Iterator<Item = &RangeEntry> {
        let first = self.entries.partition_point(|it| it.range.last < range.first);
        self.entries[first..].iter().take_while(move |it| it.range.first <= range.last)
    }

    /// Returns the entries on which an incarnation may be granted leases.
    pub fn owned_by<'a>(
        &'a self,
        target: &'a TargetIncarnation,
    ) -> impl Iterator<Item = &'a RangeEntry> {
        self.entries.iter().filter(|it| it.holding.owner().is_some_and(|it| it.target == *target))
    }

    /// Returns the entries that an incarnation has to release.
    pub fn leaving<'a>(
        &'a self,
        target: &'a TargetIncarnation,
    ) -> impl Iterator<Item = &'a RangeEntry> {
        self.entries
            .iter()
            .filter(|it| it.holding.leaving_owner().is_some_and(|it| it.target == *target))
    }

    /// Returns the entries on which an incarnation may hold leases, whether they are leaving or not.
    pub fn held_by<'a>(
        &'a self,
        target: &'a TargetIncarnation,
    ) -> impl Iterator<Item = &'a RangeEntry> {
        self.entries.iter().filter(|it| it.holding.holder().is_some_and(|it| it.target == *target))
    }

    /// Assigns the free keys of a range to an owner under a new fencing token.
    ///
    /// Keys that are owned or leaving stay as they are.
    pub fn assign(&mut self, range: KeyRange, owner: &Owner) {
        let fence = self.highest_fence + 1;
        let changed = self.update_range(range, |entry| match &entry.holding {
            Holding::Free => Some(RangeEntry {
                range: entry.range,
                holding: Holding::Owned(owner.clone()),
                fence,
                handover: entry.handover.clone(),
            }),
            Holding::Owned(_) | Holding::Leaving { .. } => None,
        });
        if changed {
            self.highest_fence = fence;
        }
    }

    /// Gives an owner the keys of a range that it owns under a new fencing token, as it has seen a
    /// higher one than theirs. Returns whether any keys changed.
    pub fn reissue(&mut self, range: KeyRange, target: &TargetIncarnation) -> bool {
        let fence = self.highest_fence + 1;
        let changed = self.update_range(range, |entry| match &entry.holding {
            Holding::Owned(owner) if owner.target == *target => {
                Some(RangeEntry { fence, ..entry.clone() })
            }
            Holding::Owned(_) | Holding::Free | Holding::Leaving { .. } => None,
        });
        if changed {
            self.highest_fence = fence;
        }
        changed
    }

    /// Starts to move the owned keys of a range to the next owner, or to free them if `to` is
    /// `None`. `row_version` is the version of the row that this change is based on.
    pub fn begin_move(&mut self, range: KeyRange, to: Option<&Owner>, row_version: u64) {
        self.update_range(range, |entry| {
            let Holding::Owned(from) = &entry.holding else {
                return None;
            };
            let departure = row_version;
            let holding = Holding::Leaving { from: from.clone(), to: to.cloned(), departure };
            Some(RangeEntry { holding, ..entry.clone() })
        });
    }

    /// Records the departure of leaving keys whose writer did not, as of `row_version`. The time
    /// until they are vacant counts from then.
    pub fn record_departures(&mut self, row_version: u64) {
        self.update_range(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Leaving { from, to, departure: 0 } => {
                let (from, to) = (from.clone(), to.clone());
                let holding = Holding::Leaving { from, to, departure: row_version };
                Some(RangeEntry { holding, ..entry.clone() })
            }
            _ => None,
        });
    }

    /// Takes over what the writer of this assignment has not recorded from `before`, the version
    /// directly before.
    ///
    /// Keys that left the same owner there under the same fencing token have been leaving it since,
    /// as there is no version in between on which it owned them. If both versions state limits, so do
    /// all since those were first stated.
    pub fn continue_from(&mut self, before: &Self) {
        if self.statement == TermsStatement::Unrecorded && self.keeps_terms_of(before) {
            self.statement = before.statement;
        }
        for earlier in &before.entries {
            let Holding::Leaving { from: leaver, departure: known, .. } = &earlier.holding else {
                continue;
            };
            self.update_range(earlier.range, |entry| match &entry.holding {
                Holding::Leaving { from, to, departure: 0 }
                    if from == leaver && entry.fence == earlier.fence =>
                {
                    let (from, to) = (from.clone(), to.clone());
                    let holding = Holding::Leaving { from, to, departure: *known };
                    Some(RangeEntry { holding, ..entry.clone() })
                }
                _ => None,
            });
        }
    }

    fn keeps_terms_of(&self, before: &Self) -> bool {
        let terms = self.terms.zip(before.terms);
        terms.is_some_and(|(terms, before)| terms.max(before) == terms)
    }

    /// Replaces the next owner of the leaving keys of a range.
    pub fn redirect_move(&mut self, range: KeyRange, to: Option<&Owner>) {
        self.update_range(range, |entry| {
            let Holding::Leaving { from, departure, .. } = &entry.holding else {
                return None;
            };
            let (from, departure) = (from.clone(), *departure);
            let holding = Holding::Leaving { from, to: to.cloned(), departure };
            Some(RangeEntry { holding, ..entry.clone() })
        });
    }

    /// Removes an incarnation as the next owner of leaving keys.
    pub fn clear_next_owner(&mut self, target: &TargetIncarnation) -> bool {
        self.update_range(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Leaving { from, to: Some(to), departure } if to.target == *target => {
                let (from, departure) = (from.clone(), *departure);
                let holding = Holding::Leaving { from, to: None, departure };
                Some(RangeEntry { holding, ..entry.clone() })
            }
            _ => None,
        })
    }

    /// Cancels all moves away from an incarnation, which owns the keys again. Returns whether there
    /// were any.
    pub fn cancel_moves(&mut self, target: &TargetIncarnation) -> bool {
        self.update_range(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Leaving { from, .. } if from.target == *target => {
                let holding = Holding::Owned(from.clone());
                Some(RangeEntry { holding, ..entry.clone() })
            }
            _ => None,
        })
    }

    /// Returns the nodes of the owners whose departures from keys have been cancelled in a later
    /// assignment.
    pub fn returned_to(&self, later: &Self) -> Vec<Arc<str>> {
        let mut nodes: Vec<Arc<str>> = Vec::new();
        for entry in &self.entries {
            let Some(leaver) = entry.holding.leaving_owner() else {
                continue;
            };
            let now = later.entry_of(entry.range.first);
            let is_cancelled = now.fence == entry.fence && now.holding.owner() == Some(leaver);
            if is_cancelled && !nodes.contains(&leaver.node) {
                nodes.push(leaver.node.clone());
            }
        }
        nodes
    }

    /// Completes the moves of keys in a range away from `from`: the next owner gets them under a
    /// new fencing token; without a next owner they become free. Returns whether any keys changed.
    ///
    /// Safe only once `from` provably holds no lease on the keys.
    pub fn complete_move(
        &mut self,
        from: &TargetIncarnation,
        range: KeyRange,
        handover: &str,
    ) -> bool {
        let fence = self.highest_fence + 1;
        let changed = self.update_range(range, |entry| {
            let Holding::Leaving { from: leaving_owner, to, .. } = &entry.holding else {
                return None;
            };
            if leaving_owner.target != *from {
                return None;
            }
            let (holding, fence) = match to {
                Some(to) => (Holding::Owned(to.clone()), fence),
                None => (Holding::Free, entry.fence),
            };
            Some(RangeEntry { range: entry.range, holding, fence, handover: handover.to_owned() })
        });
        if changed {
            self.highest_fence = fence;
        }
        changed
    }

    /// Removes an incarnation that has ended: completes the moves away from it, frees the keys that
    /// it owns and clears it as the next owner of others. Returns whether any keys changed.
    pub fn remove_owner(&mut self, target: &TargetIncarnation) -> bool {
        let completed = self.complete_move(target, KeyRange::ALL, "");
        let freed = self.update_range(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Owned(owner) if owner.target == *target => Some(RangeEntry {
                range: entry.range,
                holding: Holding::Free,
                fence: entry.fence,
                handover: String::new(),
            }),
            _ => None,
        });
        let cleared = self.clear_next_owner(target);
        completed || freed || cleared
    }

    /// Returns the assignment after every lease on it has expired, with fencing tokens above
    /// `min_fence` and above all issued ones. Owners keep their keys, and leaving keys become free.
    ///
    /// For a row that replaces lost ones, which may have moved keys.
    #[must_use]
    pub fn reissued(&self, min_fence: u64) -> Self {
        let fence = self.highest_fence.max(min_fence) + 1;
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            let holding = match &entry.holding {
                Holding::Owned(owner) => Holding::Owned(owner.clone()),
                Holding::Free | Holding::Leaving { .. } => Holding::Free,
            };
            let handover = String::new();
            push_merged(&mut entries, RangeEntry { range: entry.range, holding, fence, handover });
        }
        Self { entries, highest_fence: fence, terms: self.terms, statement: self.statement }
    }

    /// Returns all owners that may hold leases, sorted and without duplicates.
    pub fn holders(&self) -> Vec<Owner> {
        let mut holders: Vec<Owner> =
            self.entries.iter().filter_map(|it| it.holding.holder().cloned()).collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Applies `update` to the part of each entry that lies within a range, and merges equal
    /// neighbours. `update` returns `None` for a part that stays as it is.
    fn update_range(
        &mut self,
        range: KeyRange,
        update: impl Fn(&RangeEntry) -> Option<RangeEntry>,
    ) -> bool {
        let mut changed = false;
        let mut entries = Vec::with_capacity(self.entries.len() + 2);
        for entry in self.entries.drain(..) {
            let Some(inside) = entry.range.overlap(range) else {
                push_merged(&mut entries, entry);
                continue;
            };
            let Some(new) = update(&RangeEntry { range: inside, ..entry.clone() }) else {
                push_merged(&mut entries, entry);
                continue;
            };
            changed = true;
            let [before, after] = entry.range.without(inside);
            if let Some(range) = before {
                push_merged(&mut entries, RangeEntry { range, ..entry.clone() });
            }
            push_merged(&mut entries, new);
            if let Some(range) = after {
                push_merged(&mut entries, RangeEntry { range, ..entry });
            }
        }
        self.entries = entries;
        changed
    }
}

impl Holding {
    /// Returns the owner that may be granted leases.
    pub const fn owner(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) => Some(owner),
            Self::Free | Self::Leaving { .. } => None,
        }
    }

    /// Returns the owner that has to release the range and is granted no further leases.
    pub const fn leaving_owner(&self) -> Option<&Owner> {
        match self {
            Self::Leaving { from, .. } => Some(from),
            Self::Free | Self::Owned(_) => None,
        }
    }

    /// Returns the departure of leaving keys, if it was recorded.
    pub const fn departure(&self) -> Option<u64> {
        match self {
            Self::Leaving { departure: 0, .. } | Self::Free | Self::Owned(_) => None,
            Self::Leaving { departure, .. } => Some(*departure),
        }
    }

    /// Returns the owner that may hold leases now, whether it is leaving or not.
    pub const fn holder(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) | Self::Leaving { from: owner, .. } => Some(owner),
            Self::Free => None,
        }
    }
}

/// Appends an entry, or extends the last one if the two differ only in their ranges.
fn push_merged(entries: &mut Vec<RangeEntry>, entry: RangeEntry) {
    if let Some(last) = entries.last_mut() {
        let is_same_state = last.holding == entry.holding
            && last.fence == entry.fence
            && last.handover == entry.handover;
        if is_same_state {
            last.range.last = entry.range.last;
            return;
        }
    }
    entries.push(entry);
}
