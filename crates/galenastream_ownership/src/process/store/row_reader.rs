//! Reads the row of a cell, one read at a time.

use std::time::Duration;

use crate::{
    BootInstant, StoreReply, StoreRequestId, StoredRow,
    process::{Backoff, Context, Outbox, ms},
};

/// Reads the row of a cell, one read at a time, at a bounded rate.
#[derive(Debug)]
pub(crate) struct RowReader {
    context: Context,
    in_flight: Option<StoreRequestId>,
    /// When an unanswered read is given up.
    give_up_at: BootInstant,
    /// When a read that is wanted goes out.
    wanted_at: Option<BootInstant>,
    /// Whether the read in flight was sent before the last time a fresh one was wanted.
    again: bool,
    not_before: BootInstant,
    backoff: Backoff,
}

impl RowReader {
    pub(crate) fn new(context: Context, now: BootInstant) -> Self {
        Self {
            context,
            in_flight: None,
            give_up_at: now,
            wanted_at: None,
            again: false,
            not_before: now,
            backoff: Backoff::default(),
        }
    }

    /// Wants a read that is sent from now on.
    pub(crate) fn want(&mut self, now: BootInstant) {
        self.want_at(now);
        self.again = self.in_flight.is_some();
    }

    /// Wants a read at `at` or earlier.
    pub(crate) fn want_at(&mut self, at: BootInstant) {
        let at = at.max(self.not_before);
        self.wanted_at = Some(self.wanted_at.map_or(at, |it| it.min(at)));
    }

    /// Whether a read is under way or due.
    pub(crate) fn is_wanted(&self) -> bool {
        self.wanted_at.is_some() || self.in_flight.is_some()
    }

    pub(crate) fn next_wakeup(&self) -> Option<BootInstant> {
        if self.in_flight.is_some() { Some(self.give_up_at) } else { self.wanted_at }
    }

    /// Sends the read that is due.
    pub(crate) fn advance(&mut self, now: BootInstant, out: &mut Outbox) {
        if self.in_flight.is_some() && now >= self.give_up_at {
            self.fail(now, out);
        }
        if self.in_flight.is_some() || self.wanted_at.is_none_or(|it| now < it) {
            return;
        }
        self.wanted_at = None;
        self.again = false;
        self.in_flight = Some(out.read(self.context.cell));
        self.give_up_at = now + ms(self.context.timing.store_timeout_ms) * 2;
    }

    /// Handles an answer of the platform. `None` if it answers no read or says nothing.
    pub(crate) fn handle_reply<'a>(
        &mut self,
        now: BootInstant,
        request: StoreRequestId,
        reply: &'a StoreReply,
        out: &mut Outbox,
    ) -> Option<Option<&'a StoredRow>> {
        if self.in_flight != Some(request) {
            return None;
        }
        let StoreReply::Row(row) = reply else {
            self.fail(now, out);
            return None;
        };
        self.in_flight = None;
        self.backoff.reset();
        if !self.again {
            self.wanted_at = None;
        }
        Some(row.as_ref())
    }

    fn fail(&mut self, now: BootInstant, out: &mut Outbox) {
        self.in_flight = None;
        let pause: Duration = self.backoff.fail(out);
        self.not_before = now + pause;
        self.wanted_at = Some(self.not_before);
    }
}
