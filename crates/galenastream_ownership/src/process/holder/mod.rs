//! The leases of the target beside this node.

mod beat_log;
mod beat_schedule;
mod lease_holder;
mod lease_set;
mod tails;
mod target;

pub(crate) use beat_log::*;
pub(crate) use beat_schedule::*;
pub(crate) use lease_holder::*;
pub(crate) use lease_set::*;
pub(crate) use tails::*;
pub(crate) use target::*;
