//! Reads that nothing asks for.

use std::time::Duration;

use crate::{
    BootInstant,
    process::{Context, Outbox, RowReader, ms},
};

/// Random part of the pause before a read that many nodes may want at once.
const READ_JITTER: Duration = Duration::from_millis(20);

/// Reads now and then, to find a coordinator or to notice an operator's takeover.
#[derive(Debug)]
pub(crate) struct ReadPlan {
    context: Context,
    read_at: BootInstant,
}

impl ReadPlan {
    pub(crate) fn new(context: Context, now: BootInstant) -> Self {
        Self { context, read_at: now }
    }

    pub(crate) fn next_wakeup(&self) -> BootInstant {
        self.read_at
    }

    /// Wants a read if one is due and `is_needed`. Returns whether one was due.
    pub(crate) fn advance(
        &mut self,
        now: BootInstant,
        is_needed: bool,
        reader: &mut RowReader,
        out: &mut Outbox,
    ) -> bool {
        if now < self.read_at {
            return false;
        }
        let interval = ms(self.context.timing.store_term_ms) / 2;
        self.read_at = now + interval + out.jitter(interval / 2);
        if is_needed {
            reader.want_at(now + out.jitter(READ_JITTER));
        }
        true
    }
}
