//! The tickets of the slices that this node holds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use galenastream_ownership::{Epoch, FastMap, HeldSlices, SliceEpoch, SliceId};
use galenastream_routing::{Ticket, TicketDecision, TicketLedger, TicketLimits, TicketResult};
use galenastream_settings::EffectiveSettings;

use super::boot_now;
use crate::request::Reply;

/// The tickets of the slices that this node holds, shared by the traffic threads.
#[derive(Debug)]
pub struct TicketDesk {
    state: Mutex<DeskState>,
}

#[derive(Debug)]
struct DeskState {
    ledger: TicketLedger<Arc<Reply>>,
    /// A new ledger would count from the first serial again, so there is none after the first
    /// ticket.
    has_issued: bool,
    /// The last assignment of each slice that this node has held. Its tickets are kept although
    /// the lease has run out, since the same assignment may be granted again.
    assignments: FastMap<SliceId, Epoch>,
}

impl TicketDesk {
    /// Creates an empty desk.
    pub fn new(limits: TicketLimits) -> Self {
        let ledger = TicketLedger::new(limits);
        Self {
            state: Mutex::new(DeskState {
                ledger,
                has_issued: false,
                assignments: FastMap::default(),
            }),
        }
    }

    /// Changes the limits, as long as no ticket has been issued.
    pub fn set_limits(&self, limits: TicketLimits) {
        let mut state = self.lock();
        if !state.has_issued {
            state.ledger = TicketLedger::new(limits);
        }
    }

    /// Issues a ticket of a slice that this node holds.
    pub fn issue(&self, assignment: SliceEpoch) -> Ticket {
        let mut state = self.lock();
        state.has_issued = true;
        state.ledger.issue(boot_now(), assignment)
    }

    /// Decides on a request with a ticket.
    pub fn begin(&self, current: SliceEpoch, ticket: Ticket) -> TicketDecision<Arc<Reply>> {
        self.lock().ledger.begin(boot_now(), current, ticket)
    }

    /// Records what became of a ticket that was to be run.
    pub fn finish(&self, ticket: Ticket, result: TicketResult<Arc<Reply>>) {
        self.lock().ledger.finish(ticket, result);
    }

    /// Forgets the tickets of assignments that later ones have replaced.
    pub fn follow(&self, held: &HeldSlices) {
        let mut state = self.lock();
        let mut changed = false;
        for slice in &held.slices {
            let previous = state.assignments.insert(slice.id.slice, slice.id.epoch);
            changed |= previous != Some(slice.id.epoch);
        }
        if !changed {
            return;
        }
        let kept: Vec<SliceEpoch> = state
            .assignments
            .iter()
            .map(|(slice, epoch)| SliceEpoch { slice: *slice, epoch: *epoch })
            .collect();
        state.ledger.retain(&kept);
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How many tickets an owner remembers, and for how long.
pub fn ticket_limits(settings: &EffectiveSettings) -> TicketLimits {
    TicketLimits {
        tickets_per_slice: settings.ticket_limit as usize,
        kept_ms: settings.ticket_kept_ms,
        ..TicketLimits::default()
    }
}
