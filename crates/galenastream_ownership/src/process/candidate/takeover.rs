//! The write that takes the next term.

use crate::{
    BootInstant, CellRow, Epoch, KeyHash, NodeConfig, Slice, SliceId, StoredRow, Term, WitnessSet,
    process::{Context, Handoffs, Knowledge, Members, Office, RowBuilder, ms},
};

/// The write that takes the next term, and what this node will know when it is committed.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    pub(crate) row: CellRow,
    pub(crate) grounds: Grounds,
}

/// Why a node may take the next term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Grounds {
    /// There was no row.
    NoRow,
    /// The earlier coordinator can grant no more since then.
    Ended {
        /// From when on it grants no more; `None`: not before the write is committed.
        since: Option<BootInstant>,
        /// Whether its own leases have run out too.
        own_leases_too: bool,
    },
    /// An operator ordered it.
    Order,
}

impl Takeover {
    /// Creates the first row of a cell.
    pub(crate) fn first_row(config: &NodeConfig) -> Self {
        let count = if config.divided_by_key { config.initial_slices.max(1) } else { 0 };
        let step = u64::MAX / u64::from(count.max(1));
        let mut slices = Vec::new();
        for index in 0..count {
            let first = KeyHash(step * u64::from(index));
            slices.push(Slice { id: SliceId(index), first, epoch: Epoch(1), owner: None });
        }
        let row = CellRow {
            cell: config.cell,
            term: Term(1),
            coordinator: config.member,
            witnesses: WitnessSet::default(),
            grant_checkers: Vec::new(),
            slices,
            next_slice: SliceId(count),
        };
        Self { row, grounds: Grounds::NoRow }
    }

    /// Follows a coordinator that can grant no more since `since`.
    pub(crate) fn after_end(
        context: &Context,
        now: BootInstant,
        stored: &StoredRow,
        since: Option<BootInstant>,
        knowledge: &Knowledge,
        members: &Members,
    ) -> Self {
        // Before that it may have leases of the term before its own.
        let own_leases_too = now > knowledge.term_since + context.lease_wait();
        let former = stored.row.coordinator;
        let may_reassign = own_leases_too && stored.row.checks_grants(former);
        let lost = if may_reassign { vec![former] } else { Vec::new() };
        let builder = RowBuilder {
            now,
            committed: &stored.row,
            term: Term(stored.row.term.0 + 1),
            coordinator: context.me,
            members,
            handoffs: &Handoffs::default(),
            lost: &lost,
            may_assign: true,
            cuts: &[],
            witnesses: None,
        };
        let grounds = Grounds::Ended { since, own_leases_too };
        Self { row: builder.build().row, grounds }
    }

    /// Follows an operator's order. The cell runs on the store until new witnesses are chosen.
    pub(crate) fn by_order(context: &Context, stored: &StoredRow) -> Self {
        let mut row = stored.row.clone();
        row.term = Term(row.term.0 + 1);
        row.coordinator = context.me;
        row.witnesses =
            WitnessSet { generation: row.witnesses.generation.next(), witnesses: Vec::new() };
        Self { row, grounds: Grounds::Order }
    }
}

impl Grounds {
    /// For a node that finds itself named by a row that it did not write.
    pub(crate) fn named_by_row() -> Self {
        Self::Ended { since: None, own_leases_too: false }
    }

    /// What the node knows when its write is committed.
    pub(crate) fn office(
        self,
        context: &Context,
        now: BootInstant,
        former: Option<crate::Member>,
    ) -> Office {
        match self {
            Self::NoRow => Office { since: now, quiet_until: now, former: None },
            Self::Ended { since, own_leases_too } => Office {
                since: since.unwrap_or(now),
                quiet_until: BootInstant::default(),
                former: former.filter(|_| own_leases_too),
            },
            Self::Order => {
                let timing = context.timing;
                let longest = ms(timing.lease_ms.max(timing.store_term_ms));
                let quiet = context.stretched(longest) + context.order_wait();
                Office { since: now, quiet_until: now + quiet, former: None }
            }
        }
    }
}
