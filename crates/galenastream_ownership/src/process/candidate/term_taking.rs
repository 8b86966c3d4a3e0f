//! The pending write by which a node takes a term.

use crate::{
    BootInstant, NodeConfig, StoredRow,
    process::{Context, Grounds, Knowledge, Members, Outbox, StoreWriter, Takeover},
};

/// The pending write by which a node takes a term, and an operator's order to take one.
#[derive(Debug)]
pub(crate) struct TermTaking {
    context: Context,
    config: NodeConfig,
    /// Why the pending write may take its term.
    grounds: Option<Grounds>,
    is_ordered: bool,
}

impl TermTaking {
    pub(crate) fn new(context: Context, config: NodeConfig) -> Self {
        Self { context, config, grounds: None, is_ordered: false }
    }

    /// Creates the first row, unless a row is known.
    pub(crate) fn create(
        &mut self,
        now: BootInstant,
        knowledge: &Knowledge,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        if knowledge.row.is_none() && writer.is_idle(now) {
            let takeover = Takeover::first_row(&self.config);
            self.start(now, None, takeover, writer, out);
        }
    }

    /// Takes the next term after the end of the coordinator in the row, `since` when it grants no
    /// more.
    pub(crate) fn follow(
        &mut self,
        now: BootInstant,
        stored: &StoredRow,
        since: Option<BootInstant>,
        known: (&Knowledge, &Members),
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        if !writer.is_idle(now) {
            return;
        }
        let (knowledge, heard) = known;
        let takeover = Takeover::after_end(&self.context, now, stored, since, knowledge, heard);
        self.start(now, Some(stored), takeover, writer, out);
    }

    /// An operator wants this node to take the next term.
    pub(crate) fn order(&mut self) {
        self.is_ordered = true;
    }

    /// Whether an operator's order has not been carried out yet.
    pub(crate) fn is_ordered(&self) -> bool {
        self.is_ordered
    }

    /// Carries out an operator's order. The writer must be idle.
    pub(crate) fn carry_out(
        &mut self,
        now: BootInstant,
        stored: &StoredRow,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        self.is_ordered = false;
        let takeover = Takeover::by_order(&self.context, stored);
        self.start(now, Some(stored), takeover, writer, out);
    }

    fn start(
        &mut self,
        now: BootInstant,
        stored: Option<&StoredRow>,
        takeover: Takeover,
        writer: &mut StoreWriter,
        out: &mut Outbox,
    ) {
        self.grounds = Some(takeover.grounds);
        writer.start(now, stored.map(|it| it.version), takeover.row, out);
    }

    /// The pending write can no longer take effect.
    pub(crate) fn ruled_out(&mut self) {
        self.grounds = None;
    }

    /// The grounds of the write that took effect. A deputy's leases end later than the seals say.
    pub(crate) fn take_grounds(&mut self, was_deputy: bool) -> Grounds {
        match self.grounds.take() {
            None => Grounds::named_by_row(),
            Some(Grounds::Ended { own_leases_too, .. }) if was_deputy => {
                Grounds::Ended { since: None, own_leases_too }
            }
            Some(grounds) => grounds,
        }
    }
}
