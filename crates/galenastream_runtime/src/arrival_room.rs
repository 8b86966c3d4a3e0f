//! The memory for messages that arrive on a connection.
//!
//! Load pattern: many clients send more than the process can hold, some of them without an end.

use std::sync::Arc;

use galenastream_routing::MemoryNeed;

use crate::{
    ConnectionSlots, ConnectionState, MemoryBudget, MemoryReservation, memory_budget::SHORT_BYTES,
};

/// The memory for messages that arrive on a connection. If there is too little left, other
/// connections of the port whose messages have stopped arriving are closed.
#[derive(Debug)]
pub struct ArrivalRoom {
    budget: Arc<MemoryBudget>,
    slots: Arc<ConnectionSlots>,
    connection: Arc<ConnectionState>,
}

impl ArrivalRoom {
    /// Creates the room of a connection, one of `slots`, whose messages take their memory from `budget`.
    pub const fn new(
        budget: Arc<MemoryBudget>,
        slots: Arc<ConnectionSlots>,
        connection: Arc<ConnectionState>,
    ) -> Self {
        Self { budget, slots, connection }
    }

    /// Creates an empty reservation.
    pub fn reservation(&self) -> MemoryReservation {
        self.budget.reservation()
    }

    /// Extends a reservation. Returns false if there is no room even if others make some.
    pub fn extend(&self, reservation: &mut MemoryReservation, bytes: usize) -> bool {
        if reservation.extend_to(bytes) {
            return true;
        }
        let missing_bytes = bytes.saturating_sub(reservation.bytes());
        let need = match bytes {
            0..=SHORT_BYTES => MemoryNeed::ShortRequest,
            _ => MemoryNeed::LongRequest,
        };
        let is_freed = self.slots.free_memory(need, missing_bytes);
        if is_freed {
            reservation.extend_anyway(bytes);
        }
        is_freed
    }

    /// Records that a part of a message has arrived, for which so much memory is reserved.
    pub fn record_part(&self, held_bytes: usize) {
        self.connection.record_part(held_bytes);
    }
}
