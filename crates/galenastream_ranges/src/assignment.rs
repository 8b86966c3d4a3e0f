//! The owner of every key of a service.

use crate::{KeyRange, Owner, TargetIncarnation};

/// The owner of every key of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    entries: Vec<RangeEntry>,
    highest_fence: u64,
}

/// Keys that are held alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeEntry {
    /// The keys.
    pub range: KeyRange,
    /// Who holds them.
    pub holding: Holding,
    /// The fencing token; above all tokens of earlier owners of these keys.
    pub fence: u64,
    /// The token of the last owner's release; empty if there is none.
    pub handover: String,
}

/// Who holds keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holding {
    /// Nobody.
    Free,
    /// Their owner, who may be granted leases.
    Owned(Owner),
    /// The owner may hold them still, but gets no more leases.
    Leaving {
        /// The owner that leaves.
        from: Owner,
        /// The next owner, if it is decided.
        to: Option<Owner>,
    },
}

impl Default for Assignment {
    fn default() -> Self {
        Self::new()
    }
}

impl Assignment {
    /// All keys are free.
    pub fn new() -> Self {
        let entry = RangeEntry {
            range: KeyRange::ALL,
            holding: Holding::Free,
            fence: 0,
            handover: String::new(),
        };
        Self { entries: vec![entry], highest_fence: 0 }
    }

    pub(crate) fn from_entries(entries: Vec<RangeEntry>, highest_fence: u64) -> Self {
        Self { entries, highest_fence }
    }

    /// The entries, in the order of their keys.
    pub fn entries(&self) -> &[RangeEntry] {
        &self.entries
    }

    /// The highest fencing token that was ever given.
    pub const fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// The entry that has a key.
    pub fn entry_of(&self, key: u16) -> &RangeEntry {
        let index = self.entries.partition_point(|it| it.range.last < key);
        &self.entries[index.min(self.entries.len() - 1)]
    }

    /// The entries on which an incarnation may be granted leases.
    pub fn owned_by<'a>(
        &'a self,
        target: &'a TargetIncarnation,
    ) -> impl Iterator<Item = &'a RangeEntry> {
        self.entries.iter().filter(|it| it.holding.owner().is_some_and(|it| it.target == *target))
    }

    /// The entries that an incarnation has to release.
    pub fn leaving<'a>(
        &'a self,
        target: &'a TargetIncarnation,
    ) -> impl Iterator<Item = &'a RangeEntry> {
        self.entries
            .iter()
            .filter(|it| it.holding.leaving_owner().is_some_and(|it| it.target == *target))
    }

    /// Gives free keys to an owner.
    pub fn assign(&mut self, range: KeyRange, owner: &Owner) {
        let fence = self.highest_fence + 1;
        let changed = self.change(range, |entry| match &entry.holding {
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

    /// Takes keys from their owner, for the next owner if there is one.
    pub fn begin_move(&mut self, range: KeyRange, to: Option<&Owner>) {
        self.change(range, |entry| {
            let Holding::Owned(from) = &entry.holding else {
                return None;
            };
            let holding = Holding::Leaving { from: from.clone(), to: to.cloned() };
            Some(RangeEntry { holding, ..entry.clone() })
        });
    }

    /// Names another next owner for keys that are leaving.
    pub fn redirect_move(&mut self, range: KeyRange, to: Option<&Owner>) {
        self.change(range, |entry| {
            let Holding::Leaving { from, .. } = &entry.holding else {
                return None;
            };
            let holding = Holding::Leaving { from: from.clone(), to: to.cloned() };
            Some(RangeEntry { holding, ..entry.clone() })
        });
    }

    /// Lets an owner keep the keys that were to leave it. Returns whether there were any.
    pub fn cancel_moves(&mut self, target: &TargetIncarnation) -> bool {
        self.change(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Leaving { from, .. } if from.target == *target => {
                let holding = Holding::Owned(from.clone());
                Some(RangeEntry { holding, ..entry.clone() })
            }
            _ => None,
        })
    }

    /// Passes keys on that their old owner provably holds no longer. Returns whether any changed.
    pub fn complete_move(
        &mut self,
        from: &TargetIncarnation,
        range: KeyRange,
        handover: &str,
    ) -> bool {
        let fence = self.highest_fence + 1;
        let changed = self.change(range, |entry| {
            let Holding::Leaving { from: leaver, to } = &entry.holding else {
                return None;
            };
            if leaver.target != *from {
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

    /// Passes everything on of an incarnation that has ended. Returns whether any keys changed.
    pub fn remove_owner(&mut self, target: &TargetIncarnation) -> bool {
        let completed = self.complete_move(target, KeyRange::ALL, "");
        let freed = self.change(KeyRange::ALL, |entry| match &entry.holding {
            Holding::Owned(owner) if owner.target == *target => Some(RangeEntry {
                range: entry.range,
                holding: Holding::Free,
                fence: entry.fence,
                handover: String::new(),
            }),
            Holding::Leaving { from, to: Some(to) } if to.target == *target => {
                let holding = Holding::Leaving { from: from.clone(), to: None };
                Some(RangeEntry { holding, ..entry.clone() })
            }
            _ => None,
        });
        completed || freed
    }

    /// All incarnations that the entries name as holders.
    pub fn holders(&self) -> Vec<Owner> {
        let mut holders: Vec<Owner> =
            self.entries.iter().filter_map(|it| it.holding.holder().cloned()).collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Applies a change to the part of each entry that lies within a range.
    fn change(
        &mut self,
        range: KeyRange,
        decide: impl Fn(&RangeEntry) -> Option<RangeEntry>,
    ) -> bool {
        let mut changed = false;
        let mut entries = Vec::with_capacity(self.entries.len() + 2);
        for entry in self.entries.drain(..) {
            let Some(inside) = entry.range.overlap(range) else {
                push_merged(&mut entries, entry);
                continue;
            };
            let Some(new) = decide(&RangeEntry { range: inside, ..entry.clone() }) else {
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
    /// The owner that may be granted leases.
    pub const fn owner(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) => Some(owner),
            Self::Free | Self::Leaving { .. } => None,
        }
    }

    /// The owner that gets no more leases.
    pub const fn leaving_owner(&self) -> Option<&Owner> {
        match self {
            Self::Leaving { from, .. } => Some(from),
            Self::Free | Self::Owned(_) => None,
        }
    }

    /// Whoever may hold the keys now.
    pub const fn holder(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) | Self::Leaving { from: owner, .. } => Some(owner),
            Self::Free => None,
        }
    }
}

/// Adds an entry, as part of the last one if they are alike.
fn push_merged(entries: &mut Vec<RangeEntry>, entry: RangeEntry) {
    if let Some(last) = entries.last_mut() {
        let alike = last.holding == entry.holding
            && last.fence == entry.fence
            && last.handover == entry.handover;
        if alike {
            last.range.last = entry.range.last;
            return;
        }
    }
    entries.push(entry);
}
