//! The text form of a ticket, as callers carry it.

use galenastream_ownership::{Epoch, ServiceId, SliceEpoch, SliceId};
use galenastream_routing::Ticket;
use galenastream_wire::TicketToken;

/// Writes a ticket as callers carry it: slice, epoch and serial, joined by `-`.
pub fn format_ticket(token: &TicketToken) -> String {
    format!("{}-{}-{}", token.slice, token.epoch, token.serial)
}

/// Reads a ticket of a service; `None` if the text is not one.
pub fn parse_ticket(service: ServiceId, text: &str) -> Option<TicketToken> {
    let mut parts = text.split('-');
    let slice = parts.next()?.parse().ok()?;
    let epoch = parts.next()?.parse().ok()?;
    let serial = parts.next()?.parse().ok()?;
    if parts.next().is_some() {
        return None;
    }
    Some(TicketToken { service: service.0, slice, epoch, serial })
}

/// The ticket that a token names.
pub fn ticket_of(token: &TicketToken) -> Ticket {
    let assignment = SliceEpoch { slice: SliceId(token.slice), epoch: Epoch(token.epoch) };
    Ticket { assignment, serial: token.serial }
}

/// The token of a service's ticket.
pub fn token_of(service: ServiceId, ticket: Ticket) -> TicketToken {
    TicketToken {
        service: service.0,
        slice: ticket.assignment.slice.0,
        epoch: ticket.assignment.epoch.0,
        serial: ticket.serial,
    }
}
