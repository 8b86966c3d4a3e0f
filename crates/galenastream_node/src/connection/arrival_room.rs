//! The memory for requests that arrive on a connection.

use std::sync::Arc;

use galenastream_routing::ConnectionPhase;
use galenastream_runtime::{BodyBudget, BodyReservation, ConnectionSlots, ConnectionState};

/// The memory for requests that arrive on a connection of a caller. If there is too little left, other
/// connections whose requests have stopped arriving are closed.
#[derive(Debug)]
pub(super) struct ArrivalRoom {
    budget: Arc<BodyBudget>,
    slots: Arc<ConnectionSlots>,
    connection: Arc<ConnectionState>,
}

impl ArrivalRoom {
    pub(super) const fn new(
        budget: Arc<BodyBudget>,
        slots: Arc<ConnectionSlots>,
        connection: Arc<ConnectionState>,
    ) -> Self {
        Self { budget, slots, connection }
    }

    /// Creates an empty reservation.
    pub(super) fn reservation(&self) -> BodyReservation {
        self.budget.reservation()
    }

    /// Extends a reservation. Returns false if there is no room even if others make some.
    pub(super) fn extend(&self, reservation: &mut BodyReservation, bytes: usize) -> bool {
        if reservation.extend_to(bytes) {
            return true;
        }
        let missing = bytes.saturating_sub(reservation.bytes());
        let is_freed = self.slots.free_memory(ConnectionPhase::Receiving, missing);
        if is_freed {
            reservation.extend_anyway(bytes);
        }
        is_freed
    }

    /// Records that a part of a request has arrived, for which so much memory is reserved.
    pub(super) fn record_part(&self, held_bytes: usize) {
        self.connection.record_part(held_bytes);
    }
}
