//! A ticket that is being run.

use std::sync::Arc;

use galenastream_routing::{Outcome, Ticket, TicketResult};

use super::Reply;
use crate::process::TicketDesk;

/// A ticket that is being run. If it is dropped without a reply, its result says what is known.
#[derive(Debug)]
pub struct TicketRun<'a> {
    desk: &'a TicketDesk,
    ticket: Ticket,
    result: TicketResult<Arc<Reply>>,
}

impl<'a> TicketRun<'a> {
    /// Begins a run that the ledger has allowed.
    pub const fn new(desk: &'a TicketDesk, ticket: Ticket) -> Self {
        Self { desk, ticket, result: TicketResult::NotRun }
    }

    /// Records that the order is about to be handed over to the target.
    pub fn hand_over(&mut self) {
        self.result = TicketResult::Unknown;
    }

    /// Records the reply.
    pub fn finish(mut self, reply: &Reply) {
        self.result = match reply.outcome {
            Outcome::Ran => TicketResult::Ran {
                answer: Arc::new(reply.clone()),
                size_bytes: reply.size_bytes(),
            },
            Outcome::NotRun(_) => TicketResult::NotRun,
            Outcome::Unknown(_) => TicketResult::Unknown,
        };
    }
}

impl Drop for TicketRun<'_> {
    fn drop(&mut self) {
        let result = std::mem::replace(&mut self.result, TicketResult::Unknown);
        self.desk.finish(self.ticket, result);
    }
}
