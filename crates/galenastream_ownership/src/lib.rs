//! Ownership of key ranges: slices, leases, coordinator terms, witnesses and the planner.
//!
//! Everything here is sans-IO: a state machine takes the time and an event, and returns actions.
//! There is no clock, socket, thread or unseeded randomness inside, so the same code runs in the
//! daemon, in tests under virtual time, and inside other programs.

mod collections;
mod event;
mod id;
mod message;
mod planner;
mod process;
mod timing;
mod version;

pub use collections::*;
pub use event::*;
pub use id::*;
pub use message::*;
pub use planner::*;
pub use process::*;
pub use timing::*;
pub use version::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Action, BootInstant, CellId, CellRow, ControlMessage, Epoch, Event, HeldSlices,
        Incarnation, KeyHash, Member, NodeConfig, OwnershipNode, PlaceId, ServiceId, SliceId, Term,
        Timing, VmId,
    };
}
