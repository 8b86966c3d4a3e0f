//! Log lines and counts of changes of ownership.

use galenastream_ownership::OwnershipEvent;

use super::counters;

/// Writes a change of ownership to the log and the metrics.
pub fn report_event(event: &OwnershipEvent) {
    match event {
        OwnershipEvent::TermTaken { cell, term } => {
            counters::term_taken();
            log::info!(event = "term_taken", cell:% = cell, term = term.0; "coordinator now");
        }
        OwnershipEvent::TermLost { cell, term } => {
            log::warn!(event = "term_lost", cell:% = cell, term = term.0; "no longer coordinator");
        }
        OwnershipEvent::Deputy { cell, term, began } => {
            log::warn!(event = "deputy", cell:% = cell, term = term.0, began = began; "deputy");
        }
        OwnershipEvent::MemberLost { cell, member } => {
            log::warn!(event = "member_lost", cell:% = cell, member:% = member; "no beat in time");
        }
        OwnershipEvent::TakeoverOrdered { cell } => {
            log::warn!(event = "takeover_ordered", cell:% = cell; "an operator ordered a takeover");
        }
        OwnershipEvent::Assigned { cell, slices } => {
            counters::slices_assigned(*slices);
            log::info!(event = "slices_assigned", cell:% = cell, slices = slices; "committed");
        }
        OwnershipEvent::LeaseLost { cell, slices } => {
            counters::leases_lost(*slices);
            log::warn!(event = "lease_lost", cell:% = cell, slices = slices; "not renewed in time");
        }
        OwnershipEvent::MessageDropped { reason } => {
            counters::datagram_dropped(counters::drop_reason(*reason));
        }
    }
}
