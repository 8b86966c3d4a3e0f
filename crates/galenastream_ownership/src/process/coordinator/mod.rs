//! The coordinator of a cell: leases, losses, moves and the row.

mod cell_coordinator;
mod entitlement;
mod grant_book;
mod handoffs;
mod inauguration;
mod losses;
mod member_record;
mod members;
mod moves;
mod placement;
mod promise_book;
mod published_members;
mod row_builder;
mod spread;
mod succession;
mod witness_choice;

pub(crate) use cell_coordinator::*;
pub(crate) use entitlement::*;
pub(crate) use grant_book::*;
pub(crate) use handoffs::*;
pub(crate) use inauguration::*;
pub(crate) use losses::*;
pub(crate) use member_record::*;
pub(crate) use members::*;
pub(crate) use moves::*;
pub(crate) use placement::*;
pub(crate) use promise_book::*;
pub(crate) use published_members::*;
pub(crate) use row_builder::*;
pub(crate) use spread::*;
pub(crate) use succession::*;
pub(crate) use witness_choice::*;
