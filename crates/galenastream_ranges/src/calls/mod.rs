//! Leases that a node grants and takes back by calls to its target.

mod call_id;
mod call_leases;
mod call_outcome;
mod call_schedule;
mod ended_part;
mod grant_call;
mod lease_order;
mod release_call;

pub use call_id::CallId;
pub use call_leases::CallLeases;
pub use call_outcome::CallOutcome;
pub use ended_part::{EndProof, EndedPart};
pub use lease_order::{LeaseOrder, PlannedCall};
