//! What a node knows about its cell, from rows and messages.

use crate::{BootInstant, Member, StoredRow, Term, WitnessSet};

/// What a node knows about its cell, from rows and messages. Each fact stems from a committed row.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    /// The highest term seen.
    pub(crate) term: Term,
    /// When that term was first seen.
    pub(crate) term_since: BootInstant,
    /// That term's coordinator, if known.
    pub(crate) coordinator: Option<Member>,
    /// The latest set of witnesses.
    pub(crate) witnesses: WitnessSet,
    /// When the set was first seen.
    pub(crate) witnesses_since: BootInstant,
    /// The highest term for which the set was confirmed by its coordinator or the row.
    pub(crate) witnesses_term: Term,
    /// The last row read or written.
    pub(crate) row: Option<StoredRow>,
    /// Whether something changed that routes depend on.
    pub(crate) changed: bool,
}

impl Knowledge {
    /// Learns that a term has begun.
    pub(crate) fn learn_term(&mut self, now: BootInstant, term: Term, coordinator: Option<Member>) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.term_since = now;
            self.coordinator = None;
            self.changed = true;
        }
        if self.coordinator.is_none() && coordinator.is_some() {
            self.coordinator = coordinator;
            self.changed = true;
        }
    }

    /// Learns the witnesses as a term's coordinator or row names them.
    pub(crate) fn learn_witnesses(&mut self, now: BootInstant, term: Term, witnesses: &WitnessSet) {
        if witnesses.generation < self.witnesses.generation {
            return;
        }
        if witnesses.generation > self.witnesses.generation {
            self.witnesses = witnesses.clone();
            self.witnesses_since = now;
            self.changed = true;
        }
        self.witnesses_term = self.witnesses_term.max(term);
    }

    /// The term's coordinator knows no later set than this node.
    pub(crate) fn confirm_witnesses(&mut self, term: Term) {
        self.witnesses_term = self.witnesses_term.max(term);
    }

    /// Learns a committed row. Returns whether it is the latest one known.
    pub(crate) fn learn_row(&mut self, now: BootInstant, stored: &StoredRow) -> bool {
        if self.row.as_ref().is_some_and(|it| it.version > stored.version) {
            return false;
        }
        let row = &stored.row;
        self.learn_term(now, row.term, Some(row.coordinator));
        self.learn_witnesses(now, row.term, &row.witnesses);
        if self.row.as_ref().is_none_or(|it| it.version < stored.version) {
            self.row = Some(stored.clone());
            self.changed = true;
        }
        true
    }
}
