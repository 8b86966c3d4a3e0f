//! Writes the row of a cell, one write at a time.

use crate::{
    BootInstant, CellRow, PlantedFault, RowVersion, StoreReply, StoreRequestId, StoredRow, Term,
    process::{Backoff, Context, Outbox, PendingWrite, Settlement, ms},
};

/// How many attempts of one write are remembered; answers to older ones say nothing new.
const REMEMBERED_ATTEMPTS: usize = 16;

/// Writes the row of a cell, one write at a time, and pushes it on until it is settled.
#[derive(Debug)]
pub(crate) struct StoreWriter {
    context: Context,
    pending: Option<PendingWrite>,
    in_flight: Option<StoreRequestId>,
    retry_at: Option<BootInstant>,
    backoff: Backoff,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It took effect.
    Committed {
        /// The row, as it stands in the table.
        stored: StoredRow,
        /// When the write was first sent.
        sent_at: BootInstant,
    },
    /// It has not taken effect and never will; the row may be read to learn why.
    RuledOut,
    /// A row must be read to learn whether it took effect.
    NeedsRead,
}

impl StoreWriter {
    pub(crate) fn new(context: Context) -> Self {
        Self {
            context,
            pending: None,
            in_flight: None,
            retry_at: None,
            backoff: Backoff::default(),
        }
    }

    pub(crate) fn pending(&self) -> Option<&PendingWrite> {
        self.pending.as_ref()
    }

    pub(crate) fn is_idle(&self, now: BootInstant) -> bool {
        self.pending.is_none() && self.retry_at.is_none_or(|it| now >= it)
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        self.retry_at
    }

    /// Starts a write. Must be idle.
    pub(crate) fn start(
        &mut self,
        now: BootInstant,
        expected: Option<RowVersion>,
        row: CellRow,
        out: &mut Outbox,
    ) {
        self.pending = Some(PendingWrite {
            write: out.next_write(),
            expected,
            row,
            sent_at: now,
            attempts: Vec::new(),
            is_unsettled: false,
        });
        self.push(now, out);
    }

    /// Repeats the pending write if it is due.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        if self.retry_at.is_none_or(|it| now < it) {
            return;
        }
        self.retry_at = None;
        if let Some(pending) = &mut self.pending {
            pending.is_unsettled = !pending.attempts.is_empty();
            self.push(now, out);
        }
    }

    fn push(&mut self, now: BootInstant, out: &mut Outbox) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let request = out.write(pending.expected, pending.write, pending.row.clone());
        if pending.attempts.len() == REMEMBERED_ATTEMPTS {
            pending.attempts.remove(0);
        }
        pending.attempts.push(request);
        self.in_flight = Some(request);
        // An answer that never comes says as little as an unknown one.
        self.retry_at = Some(now + ms(self.context.timing.store_timeout_ms) * 2);
    }

    /// Handles an answer of the platform. `None` if it settles nothing.
    pub(crate) fn handle_reply(
        &mut self,
        now: BootInstant,
        request: StoreRequestId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> Option<WriteOutcome> {
        let pending = self.pending.as_mut()?;
        if !pending.attempts.contains(&request) {
            return None;
        }
        match reply {
            StoreReply::Written(version) => {
                let version = *version;
                self.commit(now, version)
            }
            StoreReply::Conflict if pending.is_unsettled => Some(WriteOutcome::NeedsRead),
            StoreReply::Conflict => {
                self.abandon();
                Some(WriteOutcome::RuledOut)
            }
            StoreReply::NotSent if pending.attempts.len() == 1 => {
                self.abandon();
                self.retry_at = Some(now + self.backoff.fail(out));
                Some(WriteOutcome::RuledOut)
            }
            StoreReply::NotSent => {
                pending.attempts.retain(|it| *it != request);
                self.retry_later(now, request, out);
                None
            }
            StoreReply::Unknown | StoreReply::Row(_) => {
                pending.is_unsettled = true;
                self.retry_later(now, request, out);
                let reads = self.context.planted(PlantedFault::ReadSettlesWrite);
                reads.then_some(WriteOutcome::NeedsRead)
            }
        }
    }

    fn retry_later(&mut self, now: BootInstant, request: StoreRequestId, out: &mut Outbox) {
        if self.in_flight == Some(request) {
            self.in_flight = None;
            self.retry_at = Some(now + self.backoff.fail(out));
        }
    }

    /// Handles a row that was read. `None` if it settles nothing.
    pub(crate) fn handle_row(
        &mut self,
        now: BootInstant,
        stored: Option<&StoredRow>,
    ) -> Option<WriteOutcome> {
        let pending = self.pending.as_ref()?;
        match pending.settled_by(stored) {
            Settlement::Committed => {
                let version = stored?.version;
                self.commit(now, version)
            }
            Settlement::RuledOut => {
                self.abandon();
                Some(WriteOutcome::RuledOut)
            }
            Settlement::Open if self.context.planted(PlantedFault::ReadSettlesWrite) => {
                self.abandon();
                Some(WriteOutcome::RuledOut)
            }
            Settlement::Open => None,
        }
    }

    /// Drops a pending write that a later term has ruled out.
    pub(crate) fn rule_out_below(&mut self, term: Term) {
        if self.pending.as_ref().is_some_and(|it| it.row.term < term) {
            self.abandon();
        }
    }

    fn commit(&mut self, now: BootInstant, version: RowVersion) -> Option<WriteOutcome> {
        let pending = self.pending.take()?;
        self.abandon();
        self.backoff.reset();
        let from_reply = self.context.planted(PlantedFault::StoreTermFromReply);
        let sent_at = if from_reply { now } else { pending.sent_at };
        let stored = StoredRow { version, write: pending.write, row: pending.row };
        Some(WriteOutcome::Committed { stored, sent_at })
    }

    fn abandon(&mut self) {
        self.pending = None;
        self.in_flight = None;
        self.retry_at = None;
    }
}
